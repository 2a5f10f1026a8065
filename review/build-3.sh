#!/bin/sh
# Builds the stand-ins of the cases 11 to 15. Needs g++ only; run it after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-3
g++ -std=c++20 -O2 -Wall -o target/review-3/bed review/standins-3/bed.cpp review/standins-3/cases.cpp
