#!/usr/bin/env bash
# Installs the build dependencies from Debian's packages.
set -euo pipefail

packages=(
    build-essential cmake ninja-build ccache pkg-config git curl jq python3 clang-format clang-tidy
    libboost1.81-dev libboost-json1.81-dev libboost-url1.81-dev
    libcapnp-dev capnproto libgflags-dev liblog4cxx-dev libyaml-cpp-dev libxxhash-dev libssl-dev
    libgtest-dev libgmock-dev libbenchmark-dev
)
missing=()
for package in "${packages[@]}"; do
    dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'ok installed' || missing+=("$package")
done
if [ "${#missing[@]}" -gt 0 ]; then
    apt-get update
    DEBIAN_FRONTEND=noninteractive apt-get install -y --no-install-recommends "${missing[@]}"
fi
