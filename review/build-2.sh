#!/bin/sh
# Checks the stand-ins of the second review's scripts, and those of the first one that it uses; they
# need Python 3.11 and nothing else. None of the project's own stand-ins is started.
set -e
cd "$(dirname "$0")/.."
python3 -c 'import ast, sys
for path in sys.argv[1:]:
    ast.parse(open(path).read(), path)' review/standins-2/*.py review/lib/standins.py review/7/case.py review/8/case.py review/9/case.py review/10/case.py
