#!/bin/sh
# Checks the stand-ins of the second review's scripts; they need Python 3.11 and nothing else.
set -e
cd "$(dirname "$0")/.."
python3 -c 'import ast, sys
for path in sys.argv[1:]:
    ast.parse(open(path).read(), path)' review/standins-2/*.py
