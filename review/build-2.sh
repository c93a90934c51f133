#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 into target/review-2/, without the build of the product.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/[0-9]*/case.cc; do
    number=$(basename "$(dirname "$source")")
    "${CXX:-g++}" -std=c++20 -O1 -Wall -Wextra -pthread -Ireview/standins-2 "$source" -o "target/review-2/case-$number"
done
