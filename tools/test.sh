#!/usr/bin/env bash
# Installs what is missing, builds, and runs formatter, linter and all tests; the unit tests run a
# second time under AddressSanitizer and UndefinedBehaviorSanitizer.
# Tests listed in KNOWN-RED.txt with a line "test: NAME" are printed and passed over.
set -euo pipefail
cd "$(dirname "$0")/.."
tools/install_dependencies.sh
tools/format.sh --check
tools/check_platform_names.sh

# The linter reads the files as they are, without precompiled headers, which hide missing includes.
cmake -S . -B build-lint -G Ninja
tools/lint.py --recheck 8 build-lint

# Line tables are enough for stack traces and keep both builds short.
cmake -S . -B build -G Ninja -DAMARANTHLATCH_PRECOMPILED_HEADERS=ON \
  -DCMAKE_CXX_FLAGS_RELWITHDEBINFO="-O2 -g1 -DNDEBUG"
cmake --build build

known_red=$(sed -n 's/^test: *//p' KNOWN-RED.txt)
skip=(-E "^(${known_red//$'\n'/|})\$")
if [ -n "$known_red" ]; then
  echo "passed over, see KNOWN-RED.txt:"
  echo "$known_red"
else
  skip=()
fi

cmake -S . -B build-asan -G Ninja -DAMARANTHLATCH_PRECOMPILED_HEADERS=ON \
  -DAMARANTHLATCH_SANITIZE="address;undefined" \
  -DCMAKE_BUILD_TYPE=Sanitizer -DCMAKE_CXX_FLAGS="-O1 -g1"
cmake --build build-asan --target unit_tests
ASAN_OPTIONS=detect_leaks=1 UBSAN_OPTIONS=halt_on_error=1 \
  ctest --test-dir build-asan --output-on-failure -j 8 -E '^process_test$'
ctest --test-dir build --output-on-failure -j 4 "${skip[@]}"
