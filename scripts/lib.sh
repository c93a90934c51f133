# shellcheck shell=bash
# Starts and stops a small fleet on loopback addresses. Sourced by scripts/demo and scripts/bench
# from the root of the repository; needs a built release preset.

fleet_bin=build/release
# The products are in the build directory itself or, by CMake's default, below it.
fleet_apps=$fleet_bin
[ -x "$fleet_apps/crocusportd" ] || fleet_apps=$fleet_bin/apps
fleet_directory=
fleet_names=()
declare -A fleet_pids=()
fleet_next_port=$((20000 + RANDOM % 8000))
fleet_region=harjumaa
fleet_peer_key=$(od -An -N16 -tx1 /dev/urandom | tr -d ' \n')
# How long a process may take to end by itself.
fleet_stop_seconds=${CROCUSPORT_STOP_SECONDS:-10}

# Makes the directory for settings and logs; all that was started ends with the script.
fleet_open() {
    fleet_directory=$(mktemp -d)
    trap fleet_close EXIT
    trap 'exit 130' INT TERM
}

fleet_close() {
    fleet_stop_all
    if [ -n "${CROCUSPORT_KEEP_LOGS:-}" ]; then
        echo "logs: $fleet_directory" >&2
    else
        rm -rf "$fleet_directory"
    fi
}

# Usage: fleet_free_port VARIABLE
fleet_free_port() {
    while (exec 3<>"/dev/tcp/127.0.0.1/$fleet_next_port") 2>/dev/null; do
        fleet_next_port=$((fleet_next_port + 1))
    done
    printf -v "$1" '%s' "127.0.0.1:$fleet_next_port"
    fleet_next_port=$((fleet_next_port + 1))
}

# Usage: fleet_start NAME COMMAND...
# Output goes to NAME.out and NAME.log in the fleet's directory.
fleet_start() {
    local name=$1
    shift
    "$@" >"$fleet_directory/$name.out" 2>>"$fleet_directory/$name.log" &
    fleet_pids[$name]=$!
    fleet_names+=("$name")
}

# Usage: fleet_signal NAME SIGNAL
fleet_signal() {
    kill -s "$2" "${fleet_pids[$1]}" 2>/dev/null || true
}

# Ends one process: asks it, and after a while forces it. Usage: fleet_stop NAME...
fleet_stop() {
    local name pid end=$((SECONDS + fleet_stop_seconds))
    for name in "$@"; do
        [ -z "${fleet_pids[$name]:-}" ] || fleet_signal "$name" TERM
    done
    for name in "$@"; do
        pid=${fleet_pids[$name]:-}
        [ -n "$pid" ] || continue
        while kill -0 "$pid" 2>/dev/null && [ "$SECONDS" -lt "$end" ]; do
            sleep 0.05
        done
        if kill -0 "$pid" 2>/dev/null; then
            echo "$name (process $pid) did not end within $fleet_stop_seconds s" >&2
            fleet_signal "$name" KILL
        fi
        wait "$pid" 2>/dev/null || true
        unset "fleet_pids[$name]"
    done
}

# Ends a process without any warning. Usage: fleet_kill NAME
fleet_kill() {
    fleet_signal "$1" KILL
    wait "${fleet_pids[$1]}" 2>/dev/null || true
    unset "fleet_pids[$1]"
}

# Ends all processes, those that were started last first.
fleet_stop_all() {
    local index reversed=()
    for ((index = ${#fleet_names[@]} - 1; index >= 0; index--)); do
        reversed+=("${fleet_names[index]}")
    done
    [ "${#reversed[@]}" -eq 0 ] || fleet_stop "${reversed[@]}"
    fleet_names=()
}

# Starts a stand-in on a free port. Usage: fleet_start_standin VARIABLE NAME KIND OPTION...
fleet_start_standin() {
    local variable=$1 name=$2 kind=$3 tries
    shift 3
    fleet_start "$name" "$fleet_bin/tools/crocusport-standin" "$kind" --listen 127.0.0.1:0 "$@"
    for ((tries = 0; tries < 200; tries++)); do
        if grep -qs '^listening address=' "$fleet_directory/$name.out"; then
            printf -v "$variable" '%s' "$(sed -n 's/^listening address=//p' "$fleet_directory/$name.out")"
            return
        fi
        sleep 0.05
    done
    echo "$name does not listen" >&2
    tail -n 5 "$fleet_directory/$name.log" >&2
    return 1
}

# Writes the settings of one router.
# Usage: fleet_write_settings FILE NAME ZONE CALLERS PEERS OPERATORS SEEDS STORE HOST_LIST POLICY
# SEEDS is a list of quoted addresses, separated by commas.
fleet_write_settings() {
    cat >"$1" <<EOF
router = "$2"
region = "$fleet_region"
availability_zone = "$3"
peer_seeds = [$7]
peer_key = "$fleet_peer_key"
store_addresses = ["$8"]
hostlist_address = "$9"

[listen]
callers = "$4"
peers = "$5"
operators = "$6"

[policy]
queue = "${10}"

[shutdown]
delay_ms = 200
EOF
}

# Waits until each address answers /readyz with 200. Usage: fleet_wait_ready SECONDS ADDRESS...
fleet_wait_ready() {
    local end=$((SECONDS + $1)) address
    shift
    for address in "$@"; do
        until [ "$(curl -s -o /dev/null -m 1 -w '%{http_code}' "http://$address/readyz")" = 200 ]; do
            if [ "$SECONDS" -ge "$end" ]; then
                echo "router at $address is not ready" >&2
                return 1
            fi
            sleep 0.1
        done
    done
}

# Prints one entry of the host list.
# Usage: fleet_host NAME ADDRESS ZONE POOL SLOTS
fleet_host() {
    local start
    start=$(curl -s "http://$2/healthz" | sed -n 's/.*"start":\([0-9]*\).*/\1/p')
    printf '{"name":"%s","address":"%s","availability_zone":"%s","region":"%s","pool":"%s","state":"live","start":%s,"slots":%s}' \
        "$1" "$2" "$3" "$fleet_region" "$4" "${start:-1}" "$5"
}

# Publishes the host list. Usage: fleet_set_hosts HOST_LIST ENTRY...
fleet_set_hosts() {
    local list=$1
    shift
    local IFS=,
    curl -sf -o /dev/null -X POST "http://$list/control/hosts" -d "{\"hosts\":[$*]}"
}

# Orders a fault. Usage: fleet_fault ADDRESS JSON
fleet_fault() {
    curl -sf -o /dev/null -X POST "http://$1/control/fault" -d "$2"
}
