#!/bin/sh
# Runs one case: run.sh FOLDER. Exit status 1: the rule was broken, 0: it held, 2: the case could not run.
root=$(cd "$(dirname "$0")/../.." && pwd)
folder=$root/$1
program=$root/target/review-2/case-$(basename "$1")
command=$(sed -n 's/^run = "\(.*\)"$/\1/p' "$root/deploy/service.toml")
[ -x "$program" ] && [ -n "$command" ] || { echo "not built, or no run command in deploy/service.toml"; exit 2; }
temporary=$(mktemp -d) || exit 2
cd "$root" || exit 2
# shellcheck disable=SC2086
timeout -k 1 119 "$program" "$folder" "$temporary" $command
status=$?
rm -rf "$temporary"
[ "$status" -le 2 ] || status=2
exit "$status"
