#!/usr/bin/env bash
# Builds the stand-ins of the scripts of the second review, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
includes=(-Iplatform/include)
for package in libs/*/include; do
    includes+=("-I$package")
done
for number in 6 7 8 9 10; do
    case="review/$number/case.cpp"
    [ -f "$case" ] || continue
    g++ -std=c++20 -O1 -Wall -Wextra "${includes[@]}" "$case" \
        review/standins-2/installation.cpp -o "target/review-2/case-$number" \
        target/platform/libquetzal_platform.a -pthread
done
