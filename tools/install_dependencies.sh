#!/usr/bin/env bash
# Installs the Debian packages that the build, the tests and the checks need.
set -euo pipefail

packages=(
  ca-certificates g++ cmake ninja-build ccache git make pkg-config python3
  clang-format-14 clang-tidy-14
  librestinio-dev libasio-dev libfmt-dev libhttp-parser-dev
  libnng-dev libboost-dev libcurl4-openssl-dev libdocopt-dev liblog4cplus-dev
  libexpected-dev libcpputest-dev nlohmann-json3-dev librapidcheck-dev
  libzstd-dev libxxhash-dev libsodium-dev libcbor-dev libsimdjson-dev
)

missing=()
for package in "${packages[@]}"; do
  if ! dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'install ok installed'; then
    missing+=("$package")
  fi
done
if [ "${#missing[@]}" -eq 0 ]; then
  exit 0
fi

export DEBIAN_FRONTEND=noninteractive
sudo_command=()
if [ "$(id -u)" -ne 0 ]; then
  sudo_command=(sudo)
fi
"${sudo_command[@]}" apt-get update -qq
"${sudo_command[@]}" apt-get install -y -qq --no-install-recommends "${missing[@]}"
