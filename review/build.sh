#!/usr/bin/env bash
# Builds the programs of the review's scripts, with all stand-ins, into target/review/.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review
mkdir -p "$out"
compile=(g++ -std=c++17 -O1 -Wall -Wextra -pthread)
jobs=()
for it in review/*.cc review/*/main.cc; do
  "${compile[@]}" -c -o "$out/$(echo "$it" | tr / -).o" "$it" &
  jobs+=($!)
done
for it in "${jobs[@]}"; do wait "$it"; done
for it in review/*/main.cc; do
  n=$(basename "$(dirname "$it")")
  "${compile[@]}" -o "$out/case-$n" "$out/review-$n-main.cc.o" "$out"/review-[a-z]*.o
done
