#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves out the disruption.
set -u
case_folder=$(cd "$(dirname "$0")" && pwd)
cd "$case_folder/../.." || exit 2
program=target/review-3/case-withdrawn-key
if [ ! -x "$program" ] || [ ! -x target/platform/crocusport-gateway ]; then
    echo "build the deploy file and run review/build-3.sh first" >&2
    exit 2
fi
folder=$(mktemp -d) || exit 2
timeout --kill-after=2 110 "$program" "$case_folder" "$folder"
code=$?
rm -rf "$folder"
[ "$code" -le 1 ] && exit "$code"
exit 2
