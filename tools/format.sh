#!/usr/bin/env bash
# Formats the C++ sources in place, or with --check only reports files that differ.
set -euo pipefail
cd "$(dirname "$0")/.."
mode=(-i)
if [ "${1:-}" = "--check" ]; then
  mode=(--dry-run --Werror)
fi
git ls-files -z --cached --others --exclude-standard -- '*.cc' '*.h' |
  xargs -0 -r -n 16 -P "$(nproc)" clang-format-14 --style=file "${mode[@]}"
