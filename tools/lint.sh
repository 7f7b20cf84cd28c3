#!/usr/bin/env bash
# Runs clang-tidy over the sources of the build in directory $1 (default: build).
# With further arguments, only over those files.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}
shift || true
if [ "$#" -gt 0 ]; then
  files=("$@")
else
  mapfile -t files < <(git ls-files --cached --others --exclude-standard -- '*.cc')
fi
# clang-tidy writes its findings to standard output and only counts of them to standard error.
if ! printf '%s\0' "${files[@]}" |
  xargs -0 -r -n 1 -P "$(nproc)" clang-tidy-14 -p "$build" --quiet --extra-arg=-Wno-unknown-warning-option 2>"$build/lint.stderr"; then
  grep -v -E 'warnings? (generated|treated)|^Suppressed|^Use -' "$build/lint.stderr" >&2 || true
  exit 1
fi
