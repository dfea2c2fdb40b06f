#!/usr/bin/env bash
# Installs the Debian packages that the build, the tests and the checks need.
set -euo pipefail
packages=(
  g++ cmake ninja-build mold ccache clang-format clang-tidy curl
  libboost1.81-dev libboost-fiber1.81-dev libboost-context1.81-dev libboost-json1.81-dev
  libzmq3-dev cppzmq-dev libprotobuf-dev libspdlog-dev libinih-dev catch2
)
missing=()
for package in "${packages[@]}"; do
  dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'ok installed' || missing+=("$package")
done
if ((${#missing[@]} == 0)); then
  exit 0
fi
if ((EUID == 0)); then run=(); else run=(sudo); fi
"${run[@]}" apt-get update -qq
DEBIAN_FRONTEND=noninteractive "${run[@]}" apt-get install -y -qq --no-install-recommends "${missing[@]}" >/dev/null
