# Sourced by the cases. Starts the stand-ins and nodes of a small deployment on loopback addresses and ends them with the script.
# Needs the build of deploy/system.toml and review/build.sh.

caseDirectory=$(cd "$(dirname "${BASH_SOURCE[1]}")" && pwd)
repository=$(cd "$caseDirectory/../.." && pwd)
standIn="$repository/target/review/stand-in"
node="$repository/target/Utilities/Hyssopstep/hyssopstep"
record="$caseDirectory/record.txt"
trouble=${TROUBLE:-1}
# Each run has loopback addresses of its own: 127.NETWORK.x.y.
network="127.$((1 + $$ % 250)).$((1 + RANDOM % 250))"
work=$(mktemp -d)
started=()

giveUp() {
    echo "cannot run: $1" | tee -a "$record"
    exit 2
}

cleanUp() {
    local status=$?
    for process in "${started[@]}"; do
        kill -CONT "$process" 2> /dev/null || true
        kill -KILL "$process" 2> /dev/null || true
    done
    wait 2> /dev/null || true
    rm -rf "$work"
    exit "$status"
}
trap cleanUp EXIT
trap 'exit 2' INT TERM

[ -x "$standIn" ] && [ -x "$node" ] || { echo "cannot run: build first"; exit 2; }
: > "$record"

note() {
    echo "$(date +%s%3N) script $1" >> "$record"
}

# startProcess COMMAND...: starts a process in the background; its id is in $lastProcess.
startProcess() {
    "$@" &
    lastProcess=$!
    started+=("$lastProcess")
}

# nodeSettings NAME IP ZONE FIRST_START: the template of the deploy file, filled in as by the platform for a small deployment.
nodeSettings() {
    sed -e "s/{{node}}/$1/" -e "s/{{ip}}/$2/" -e "s/{{zone}}/$3/" -e "s/{{region}}/be-flanders/" \
        -e "s/{{listen.front}}/$2:8221/" -e "s/{{listen.ready}}/$2:8224/" -e "s/{{port-range}}/7600,7615/" \
        -e "s/{{seeds}}/$network.1:8229,$network.2:8229/" -e "s/{{platform.address}}/$storeAddress/" -e "s/{{bootstrap}}/$4/" \
        -e "s/{{cloud.address}}/$cloudAddress/" -e "s/{{cloud.duties}}/usage_report,autoscale/" \
        -e "s/{{bounds.usage-window-s}}/5/" -e "s/{{bounds.lease-ms}}/3000/" -e "s/{{bounds.grace-s}}/8/" \
        -e "s/{{limits.cpu-share}}/0.25/" -e "s/{{bounds.retry-ratio}}/0.2/" -e "s/{{bounds.retry-window-s}}/10/" \
        -e "s/{{bounds.retry-slack}}/56/" -e "s/{{bounds.quota-window-s}}/8/" -e "s/{{bounds.quota-slack}}/190000/" \
        "$repository/deploy/entry.settings"
}

# startNode NAME IP ZONE [FIRST_START]: starts a node with the command of the deploy file; its id is in $lastProcess.
startNode() {
    nodeSettings "$1" "$2" "$3" "${4:-true}" > "$work/$1.settings"
    grep -q '{{' "$work/$1.settings" && giveUp "the template has a field that this script does not fill in"
    (cd "$repository" && exec env HYSSOPSTEP_BOOT="$work/$1.settings" target/Utilities/Hyssopstep/hyssopstep edge > "$work/$1.log" 2>&1) &
    lastProcess=$!
    started+=("$lastProcess")
}

# waitUntilReady IP: waits until the node at that address says that it is ready.
waitUntilReady() {
    local attempt
    for attempt in $(seq 200); do
        if (exec 3<> "/dev/tcp/$1/8224" && printf 'GET /hyssopstep/ready HTTP/1.1\r\nHost: %s\r\nConnection: close\r\n\r\n' "$1" >&3 \
            && head -1 <&3 | grep -q ' 200 ') 2> /dev/null; then
            return
        fi
        sleep 0.05
    done
    giveUp "the node at $1 did not get ready"
}
