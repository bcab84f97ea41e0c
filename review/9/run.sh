#!/bin/bash
# Exit 1: the rule was broken; 0: it held; 2: the case could not run. TROUBLE=0: without disruption.
cd "$(dirname "$0")/../.." || exit 2
timeout -k 5 118 python3 -B review/9/case.py &
child=$!
trap 'kill -TERM "$child"' TERM INT # the case then ends all processes that it started
wait "$child"
status=$?
while kill -0 "$child" 2>/dev/null; do
    wait "$child"
    status=$?
done
case $status in
0) exit 0 ;;
3) exit 1 ;; # only a finished judgement ends with 3
*) exit 2 ;;
esac
