#!/usr/bin/env bash
# Builds what the scripts start beside the deployed program: the stand-ins are Python 3 without
# packages, so that there is nothing to build but their syntax to check.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib/*.py [1-5]/*.py; do
  python3 -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read())' "$file"
done
