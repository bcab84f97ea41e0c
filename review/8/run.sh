#!/bin/bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# With TROUBLE=0 it does the same without the disruption. Writes record.txt beside this file.
cd "$(dirname "$0")" || exit 2
export PYTHONPATH=../lib:../standins-2 PYTHONDONTWRITEBYTECODE=1
python3 -c 'import standins, world' || exit 2
timeout -k 5 118 python3 case.py &
child=$!
trap 'kill -TERM "$child"' TERM INT # the case then ends all processes that it started
wait "$child"
status=$?
while kill -0 "$child" 2>/dev/null; do
    wait "$child"
    status=$?
done
[ "$status" -le 1 ] || status=2
exit "$status"
