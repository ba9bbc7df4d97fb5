#!/usr/bin/env bash
# Checks formatting (clang-format) and runs the linter (clang-tidy).
# Usage: Meta/lint.sh [FILE...]; without arguments all C++ files of the repository. Needs a configured Build directory.
set -euo pipefail
cd "$(dirname "$0")/.."

if [ "$#" -gt 0 ]; then
    files=("$@")
else
    mapfile -t files < <(git ls-files --cached --others --exclude-standard -- '*.cpp' '*.h' | grep -v '\.capnp\.')
fi

clang-format --dry-run -Werror "${files[@]}"

# Clang 14 implements C++20 coroutines but does not define the feature macro that libstdc++ and Asio check.
printf '%s\n' "${files[@]}" | grep '\.cpp$' \
    | xargs -P "$(nproc)" -n 1 clang-tidy --quiet -p Build --extra-arg=-D__cpp_impl_coroutine=201902L \
        --extra-arg=-Wno-unknown-warning-option 2>&1 | { grep -Ev '^[0-9]+ warnings? generated' || true; }
