#!/usr/bin/env bash
# Builds the stand-ins and cases of the second review into target/review-2/. Needs the packages of
# deploy/system.toml and, to run the cases, its build.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
g++ -std=c++17 -O1 -Wall -Wextra -o target/review-2/review-cases review/harness/*.cc -pthread
