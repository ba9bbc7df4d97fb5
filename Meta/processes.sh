# Functions to start and stop processes, for the scripts in this directory. Sourced after `directory` and `script` are set:
# `directory` takes the logs, `script` names the script in messages.

declare -A pids=()

# Ends only processes that the script started.
stop_all() { # SIGNAL
    local pid
    for pid in "${pids[@]}"; do
        kill "-$1" "$pid" 2>/dev/null || true
    done
    for pid in "${pids[@]}"; do
        wait "$pid" 2>/dev/null || true
    done
    pids=()
}

cleanup() {
    stop_all KILL
    rm -rf "$directory"
}
trap cleanup EXIT

fail() {
    echo "$script: $1" >&2
    tail -n 20 "$directory"/*.log >&2 || true
    exit 1
}

# start NAME COMMAND...: starts a process whose log is NAME.log.
start() {
    local name=$1
    shift
    "$@" >"$directory/$name.log" 2>&1 &
    pids[$name]=$!
}

# endpoints NAME INTERFACE COUNT: waits for the endpoints that the process prints.
endpoints() {
    local found
    for _ in $(seq 1 500); do
        found=$(sed -n "s/.*event=listening interface=$2 .*endpoint=\([0-9.:]*\).*/\1/p" "$directory/$1.log" 2>/dev/null || true)
        if [ "$(echo "$found" | grep -c .)" -ge "$3" ]; then
            echo "$found"
            return
        fi
        sleep 0.05
    done
    fail "$1 does not listen on $2"
}
