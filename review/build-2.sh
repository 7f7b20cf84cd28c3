#!/usr/bin/env bash
# The stand-ins of review/6 and later are Python and need no build; checks that they can run.
set -euo pipefail
cd "$(dirname "$0")"
python3 -c 'import sys, tomllib; assert sys.version_info >= (3, 11)'
for file in lib2/mesh.py 6/run.py 7/run.py 8/run.py 9/run.py; do
  python3 -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read())' "$file"
done
