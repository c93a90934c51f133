#!/usr/bin/env bash
# Case 1: the store is down for five seconds, and the leases of the servers' entries run out.
set -euo pipefail
cd "$(dirname "$0")/../.."
status=0
timeout -k 5 115 target/review/trial lapse target/platform/crocusport-gateway deploy/settings.toml.template review/1/record.txt || status=$?
[ "$status" -le 2 ] || status=2
exit "$status"
