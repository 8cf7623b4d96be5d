#!/bin/sh
# Builds the stand-ins of the cases below review/4 and on, after the build of the deploy file; everything goes under
# target/review-2.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
pids=
for folder in review/[4-8]; do
    [ -f "$folder/case.cpp" ] || continue
    c++ -std=c++20 -O1 -o "target/review-2/case-$(basename "$folder")" "$folder/case.cpp" -pthread &
    pids="$pids $!"
done
for pid in $pids; do wait "$pid"; done
