#!/bin/sh
# Checks that generated code is current, the formatting, and clang-tidy.
set -e
build=${1:-build}
python3 tools/generate.py --check
sources=$(git ls-files 'src/*.cpp' 'src/*.h' 'testsuite/*.cpp' 'testsuite/*.h' 'platform/*.cpp' 'platform/*.h' | grep -v generated)
# shellcheck disable=SC2086
clang-format --dry-run --Werror $sources
units=$(git ls-files 'src/*.cpp' 'platform/*.cpp' | grep -v control_link)
# shellcheck disable=SC2086
echo "$units" | xargs -P "$(nproc)" -n 2 clang-tidy --quiet --extra-arg=-Wno-unknown-warning-option -p "$build" 2>/dev/null
echo "checks passed"
