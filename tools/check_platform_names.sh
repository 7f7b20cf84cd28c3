#!/usr/bin/env bash
# Fails where a name of the users' platform is used outside platform/.
set -euo pipefail
cd "$(dirname "$0")/.."
names='log-newest|log-join|log-leave|Response-Stamp|response-stamp|Expect-Instance|expect-instance|beatAddr|pathPrefix|coldLeft|Not-Executed|not-executed|AMARANTHLATCH_SETTINGS|apiKeys|ratePerS|"tenants?"'
found=$(git grep -nE "$names" -- '*.cc' '*.h' ':!platform' || true)
if [ -n "$found" ]; then
  echo "names of the platform outside platform/:" >&2
  echo "$found" >&2
  exit 1
fi
