#!/usr/bin/env bash
# Builds the drivers of cases 11 to 15, with their stand-ins, into target/review-3/. Run after the
# build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-3
mkdir -p "$out"
flags=(-std=c++17 -O1 -Wall -Wextra -I.)
objects=()
for source in review/lab/*.cc; do
  object=$out/$(basename "$source" .cc).o
  g++ "${flags[@]}" -c "$source" -o "$object" &
  objects+=("$object")
done
for job in $(jobs -p); do wait "$job"; done
for source in review/1[1-5]/main.cc; do
  case=$(basename "$(dirname "$source")")
  g++ "${flags[@]}" "$source" "${objects[@]}" -o "$out/case-$case" -lpthread
done
