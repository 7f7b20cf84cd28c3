#!/usr/bin/env bash
# Compares the present build with an earlier revision of this repository in one run.
# Usage: tools/compare.sh REVISION SCENARIO [options of `measure compare`...]
set -euo pipefail
cd "$(dirname "$0")/.."
revision=$1
scenario=$2
shift 2
commit=$(git rev-parse --verify "$revision^{commit}")
tree="out/compare/$commit"
if [ ! -d "$tree" ]; then
  git worktree add --detach "$tree" "$commit"
fi
for directory in . "$tree"; do
  cmake -S "$directory" -B "$directory/build" -G Ninja >/dev/null
  cmake --build "$directory/build"
done
exec build/tools/measure/measure compare "$scenario" --baseline="$tree/build" "$@"
