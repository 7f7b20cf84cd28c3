#!/usr/bin/env bash
# Checks the stand-ins of the third review, which are Python and need no build of their own.
set -euo pipefail
cd "$(dirname "$0")/.."
PYTHONDONTWRITEBYTECODE=1 python3 - <<'PY'
import pathlib
for path in sorted(pathlib.Path("review/lib3").glob("*.py")):
    compile(path.read_text(), str(path), "exec")
PY
