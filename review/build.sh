#!/usr/bin/env bash
# Builds the stand-ins of the cases with the compiler that the build of the deploy file uses. They need the C++ library only.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p ../target/review
"${CXX:-c++}" -std=c++20 -O1 -Wall -Wextra -pthread -o ../target/review/stand-in stand-ins/*.cpp
