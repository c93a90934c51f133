#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves out the disruption.
# Writes what was sent, answered and run to record.txt beside it.
set -u
case_folder=$(cd "$(dirname "$0")" && pwd)
record=$case_folder/record.txt
echo "case 11, TROUBLE=${TROUBLE:-1}" >"$record" || exit 2
cd "$case_folder/../.." || exit 2
program=target/review-3/case-store-drill
if [ ! -x "$program" ] || [ ! -x target/platform/crocusport-gateway ]; then
    echo "could not run: build the deploy file and run review/build-3.sh first" | tee -a "$record" >&2
    exit 2
fi
folder=$(mktemp -d) || exit 2
timeout --kill-after=2 110 "$program" "$record" "$folder"
code=$?
rm -rf "$folder"
echo "exit code of the program: $code" >>"$record"
[ "$code" -le 1 ] && exit "$code"
exit 2
