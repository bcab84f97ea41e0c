#!/bin/bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# With TROUBLE=0 it does the same without the disruption. Writes record.txt beside this file.
cd "$(dirname "$0")" || exit 2
PYTHONPATH=../lib python3 -B -c 'import standins' || exit 2
PYTHONPATH=../lib PYTHONDONTWRITEBYTECODE=1 timeout -k 5 118 python3 case.py
status=$?
[ "$status" -le 1 ] || status=2
exit "$status"
