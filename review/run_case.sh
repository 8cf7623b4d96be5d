#!/bin/bash
# run_case.sh N: runs case N and writes N/record.txt. Exit 1: the rule was broken; 0: it held; 2: it could not run.
cd "$(dirname "$0")/.." || exit 2
n=$1
command=$(sed -n 's/^run *= *"\(.*\)"$/\1/p' deploy/service.toml)
[ -x "review/build/case$n" ] && [ -n "$command" ] || { echo "build first: deploy/service.toml, review/build.sh" >&2; exit 2; }
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
timeout -k 1 119 "review/build/case$n" "$command" "$folder" "review/$n/record.txt"
status=$?
# For a developer: the controllers' logs.
if [ -n "$KEEP_LOGS" ]; then mkdir -p "$KEEP_LOGS" && cp "$folder"/* "$KEEP_LOGS"/; fi
case $status in 0 | 1) exit $status ;; *) exit 2 ;; esac
