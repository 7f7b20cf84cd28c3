#!/usr/bin/env bash
# Installs what is missing, builds, and runs formatter, linter and all tests; the unit tests run a
# second time under AddressSanitizer and UndefinedBehaviorSanitizer.
# Tests listed in KNOWN-RED.txt with a line "test: NAME" are printed and passed over.
set -euo pipefail
cd "$(dirname "$0")/.."
tools/install_dependencies.sh
tools/format.sh --check
tools/check_platform_names.sh
cmake -S . -B build -G Ninja
cmake --build build
tools/lint.sh build

known_red=$(sed -n 's/^test: *//p' KNOWN-RED.txt)
skip=(-E "^(${known_red//$'\n'/|})\$")
if [ -n "$known_red" ]; then
  echo "passed over, see KNOWN-RED.txt:"
  echo "$known_red"
else
  skip=()
fi

# -O1 and line tables keep this second build short.
cmake -S . -B build-asan -G Ninja -DAMARANTHLATCH_SANITIZE="address;undefined" \
  -DCMAKE_BUILD_TYPE=Sanitizer -DCMAKE_CXX_FLAGS="-O1 -g1"
cmake --build build-asan --target unit_tests
ASAN_OPTIONS=detect_leaks=1 UBSAN_OPTIONS=halt_on_error=1 \
  ctest --test-dir build-asan --output-on-failure -j 8 -E '^process_test$'
ctest --test-dir build --output-on-failure -j 4 "${skip[@]}"
