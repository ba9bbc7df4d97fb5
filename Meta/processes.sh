# Functions to start and stop processes, for the scripts in this directory. The caller sets two variables before it sources this
# file: `directory`, where the logs go, and `script`, the name of the script in messages.

declare -A pids=()

# stop_all SIGNAL: sends the signal to the processes that the script started, and to no others, and waits for their end.
stop_all() {
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

# start NAME COMMAND...: starts a process that logs to NAME.log.
start() {
    local name=$1
    shift
    "$@" >"$directory/$name.log" 2>&1 &
    pids[$name]=$!
}

# endpoints NAME INTERFACE COUNT: waits until the process has logged COUNT endpoints of an interface, and prints them.
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
    fail "$1 did not log $3 listening endpoints of interface $2"
}
