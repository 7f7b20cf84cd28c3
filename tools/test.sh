#!/usr/bin/env bash
# Installs what is missing, builds, and runs formatter, linter and all tests.
set -euo pipefail
cd "$(dirname "$0")/.."
tools/install_dependencies.sh
tools/format.sh --check
cmake -S . -B build -G Ninja
cmake --build build
tools/lint.sh build
ctest --test-dir build --output-on-failure -j 4
