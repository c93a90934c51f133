#!/usr/bin/env bash
# Builds the stand-ins of the cases: callers, servers and the platform's store, in one program.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
g++ -std=c++20 -O1 -Wall -Wextra -pthread -o target/review/trial review/standins/trial.cc
