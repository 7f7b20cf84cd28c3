#!/usr/bin/env bash
# Installs what is missing, builds, and runs the main job on loopback: three zones of nodes, a
# document published and in force, calls through it, a second version under load, a clean stop.
set -euo pipefail
cd "$(dirname "$0")/.."
tools/install_dependencies.sh
cmake -S . -B build -G Ninja
cmake --build build
exec build/tools/measure/measure run demo --seconds=12 "$@"
