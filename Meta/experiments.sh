#!/usr/bin/env bash
# Compares a policy with a baseline on real nodes with stand-in back ends, under load from `hyssopstep load`.
# Usage: Meta/experiments.sh EXPERIMENT OUTPUT_DIRECTORY [SEED...]; EXPERIMENT is prefix, short, straggler or overload.
# VARIANTS="NAME ..." selects variants, DURATION and DRAIN are in seconds, RATE_FACTOR overrides the experiment's factor on the
# rates of the mix, and logs are kept in the directory LOGS if it is set. Needs a finished build in the directory BUILD (Build).
# Writes SEED-VARIANT.json for each run; Meta/summarise-experiment.sh compares them.
# The kernel chooses the ports. Each variant has its own deployment, or each run if the experiment stops engines. A deployment
# is warmed up for WARM_UP seconds. The script ends only processes that it started.
set -euo pipefail
cd "$(dirname "$0")/.."

experiment=$1
output=$2
shift 2
seeds=("$@")
[ "${#seeds[@]}" -gt 0 ] || seeds=(1 2 3 4 5)
duration=${DURATION:-15}
drain=${DRAIN:-25}
warm_up=${WARM_UP:-6}

build=${BUILD:-$PWD/Build}
binary=$build/Utilities/Hyssopstep/hyssopstep
stand_in=$build/Tests/StandIns/hyssopstep-stand-in
any=127.0.0.1:0
data_centres=(be-flanders-1 be-flanders-2 be-flanders-3 be-flanders-4)
engine_counts=(3 3 2 2)
# A full batch of 8 gets a token every 20 ms, so ten engines generate at most 4,000 tokens/s.
engine_flags=(--slots=8 --step_base_us=12000 --step_sequence_us=1000 --prefill_token_us=100)
rate_factor=1
mix=Meta/experiments/mixed.yaml
declare -A variant_flags
# Runs concurrently with the load.
inject_faults() { :; }
deployment_per=variant

case $experiment in
prefix)
    mix=Meta/experiments/prefixes.yaml
    engine_flags+=(--cache_blocks=512 --cache_event_delay_ms=2000 --cache_event_loss_percent=20)
    variant_flags=(
        [baseline]="--routing_policy=least_outstanding --attention_state=recompute"
        [ours]="--routing_policy=predicted_time --attention_state=move"
    )
    deployment_per=run
    warm_up=${WARM_UP:-0}
    inject_faults() { sleep $((duration / 2)) && reclaim be-flanders-4 3000; }
    ;;
short)
    variant_flags=([baseline]="--scheduling=fifo" [ours]="--scheduling=shortest_first")
    ;;
straggler)
    engine_flags+=(--load_lag_ms=1500)
    variant_flags=([baseline]="--routing_policy=reported_load" [ours]="--routing_policy=predicted_time")
    inject_faults() { sleep 3 && slow_down 0 8 $((duration * 1000 / 2)); }
    ;;
overload)
    rate_factor=2.1
    variant_flags=([baseline]="--shedding=off" [ours]="--shedding=on")
    ;;
*)
    echo "experiments: unknown experiment $experiment" >&2
    exit 2
    ;;
esac
rate_factor=${RATE_FACTOR:-$rate_factor}
read -ra variants <<<"${VARIANTS:-baseline ours}"

mkdir -p "$output"
directory=$(mktemp -d)
script=experiments
. Meta/processes.sh

# send_json METHOD ENDPOINT_AND_PATH BODY
send_json() { curl -sSf -X "$1" -H 'Content-Type: application/json' -d "$3" "http://$2" >/dev/null || fail "$1 to $2 failed"; }

# reclaim DATA_CENTRE NOTICE_MS: announces that its engines will be reclaimed and kills them at the end of the notice period.
reclaim() {
    send_json POST "$platform/stand-in/notices" "{\"hostIds\":[$(printf '"language-%s-%s",' "$1" 0 "$1" 1 | sed 's/,$//')],\"noticeMs\":$2}"
    sleep "$(($2 / 1000))"
    record "engines-$1"
    kill -KILL "${pids[engines-$1]}"
    touch "$directory/engines-$1.ended"
}

# slow_down INDEX FACTOR MS: makes an engine in the first data centre a straggler for MS milliseconds.
slow_down() {
    send_json PUT "$(sed -n "$(($1 + 1))p" "$directory/engines-${data_centres[0]}.endpoints")/stand-in/faults" "{\"stragglerFactor\":$2,\"stragglerForMs\":$3}"
}

# record NAME: saves the totals of each engine of a process; those of an ended process were saved before its end.
record() {
    local endpoint
    [ ! -e "$directory/$1.ended" ] || return 0
    while read -r endpoint; do
        curl -sSf "http://$endpoint/stand-in/record" | jq -c .totals
    done <"$directory/$1.endpoints" >"$directory/$1.totals"
}

# record_all FILE: writes the totals of all engines as one JSON array.
record_all() {
    local data_centre
    for data_centre in "${data_centres[@]}"; do
        record "engines-$data_centre"
    done
    jq -s . "$directory"/*.totals >"$1"
}

# register SERVICE DATA_CENTRE VERSION ENDPOINT...: adds backend hosts to $hosts.
register() {
    local service=$1 data_centre=$2 version=$3 index=0 endpoint
    shift 3
    for endpoint in "$@"; do
        hosts+="${hosts:+,}{\"id\":\"$service-$data_centre-$index\",\"role\":\"backend\",\"endpoint\":\"$endpoint\",\"service\":\"$service\",\"version\":\"$version\",\"dataCentre\":\"$data_centre\",\"zone\":\"${data_centre}a\",\"machineClass\":\"general\",\"reclaimable\":true,\"state\":\"live\",\"incarnation\":1}"
        index=$((index + 1))
    done
}

start_backends() {
    local index data_centre
    hosts=""
    for index in "${!data_centres[@]}"; do
        data_centre=${data_centres[$index]}
        start "engines-$data_centre" "$stand_in" engine --listen=$any --count="${engine_counts[$index]}" "${engine_flags[@]}"
        start "services-$data_centre" "$stand_in" service --listen=$any --count=1
    done
    for index in "${!data_centres[@]}"; do
        data_centre=${data_centres[$index]}
        endpoints "engines-$data_centre" engine "${engine_counts[$index]}" >"$directory/engines-$data_centre.endpoints"
        mapfile -t found <"$directory/engines-$data_centre.endpoints"
        register language "$data_centre" v3 "${found[@]}"
        register case-log "$data_centre" "" "$(endpoints "services-$data_centre" service 1)"
    done
    send_json PUT "$platform/stand-in/hosts" "{\"hosts\":[$hosts]}"
}

# start_nodes [FLAG...]: starts two nodes per data centre, applies the desired state and waits until all nodes are ready.
start_nodes() {
    local data_centre index name seeds=""
    clients=() operators=()
    for data_centre in "${data_centres[@]}"; do
        for index in 1 2; do
            name="node-$data_centre-$index"
            start "$name" "$binary" node --node_id="$name" --data_centre="$data_centre" --region=be-flanders --platform="$platform" \
                --client_listen=$any --operator_listen=$any --peer_listen=$any --seeds="$seeds" "$@"
            clients+=("$(endpoints "$name" client 1)")
            operators+=("$(endpoints "$name" operator 1)")
            seeds+="${seeds:+,}$(endpoints "$name" peer 1)"
        done
    done
    # Raises the team limits tenfold, so that requests are refused only for lack of capacity.
    mkdir -p "$directory/desired"
    cp Examples/vitrinezorg/*.yaml "$directory/desired"
    sed -i -E 's/(requestsPerSecond|tokensPerSecond|concurrentRequests): ([0-9]+)/\1: \20/' "$directory/desired/teams.yaml"
    "$binary" apply -f "$directory/desired" --operator="$(IFS=, && echo "${operators[*]}")" --author=experiments --comment="$experiment" --yes >/dev/null || fail "apply failed"
    local operator
    for operator in "${operators[@]}"; do
        for _ in $(seq 1 300); do
            if curl -sf "http://$operator/readyz" >/dev/null && curl -sf "http://$operator/operator/status" | grep -q language-be-flanders-4-1; then
                continue 2
            fi
            sleep 0.1
        done
        fail "a node did not become ready"
    done
}

# deploy VARIANT: starts and warms up a deployment with the flags of the variant.
deploy() {
    local flags
    read -ra flags <<<"${variant_flags[$1]}"
    start platform "$stand_in" platform --listen=$any
    platform=$(endpoints platform platform 1)
    start_backends
    start_nodes "${flags[@]}"
    [ "$warm_up" -eq 0 ] || send_load 1000 "$warm_up" 2 "$directory/warm-up"
}

# send_load SEED DURATION DRAIN OUTPUT: writes the results to OUTPUT.json and OUTPUT.trace.
send_load() {
    "$binary" load --mix="$mix" --targets="$(IFS=, && echo "${clients[*]}")" --duration="$2" --drain="$3" --seed="$1" \
        --rate_factor="$rate_factor" --json="$4.json" --trace="$4.trace" || fail "hyssopstep load failed"
}

# stop_deployment NAME: stops all processes and keeps their logs in $LOGS/NAME if LOGS is set.
stop_deployment() {
    stop_all KILL
    if [ -n "${LOGS:-}" ]; then
        mkdir -p "$LOGS/$1"
        cp "$directory"/*.log "$directory"/*.trace "$LOGS/$1"
    fi
    rm -rf "${directory:?}"/*
}

# run SEED VARIANT: measures one run and writes its results.
run() {
    local before after injection
    echo "$experiment seed $1 $2" >&2
    record_all "$directory/engines-before.json"
    before=$(cut -d' ' -f1 /proc/loadavg)
    inject_faults &
    injection=$!
    send_load "$1" "$duration" "$drain" "$directory/load"
    wait "$injection" || fail "fault injection during the run failed"
    after=$(cut -d' ' -f1 /proc/loadavg)
    record_all "$directory/engines-after.json"
    jq -s 'group_by(.team) | map({team: .[0].team, ended: length, succeeded: (map(select(has("failure") | not)) | length)})' "$directory/load.trace" >"$directory/teams.json"
    jq -n --arg variant "$2" --argjson seed "$1" --argjson before "$before" --argjson after "$after" --arg experiment "$experiment" \
        --slurpfile load "$directory/load.json" --slurpfile teams "$directory/teams.json" \
        --slurpfile enginesBefore "$directory/engines-before.json" --slurpfile enginesAfter "$directory/engines-after.json" \
        '{experiment: $experiment, variant: $variant, seed: $seed, loadAverage: [$before, $after], load: $load[0], teams: $teams[0],
          engines: ([$enginesBefore[0], $enginesAfter[0]] | transpose | map(.[0] as $old | .[1] | with_entries(.value -= $old[.key])))}' \
        >"$output/$1-$2.json"
}

if [ "$deployment_per" = variant ]; then
    for variant in "${variants[@]}"; do
        deploy "$variant"
        for seed in "${seeds[@]}"; do
            run "$seed" "$variant"
        done
        stop_deployment "$variant"
    done
else
    for seed in "${seeds[@]}"; do
        for variant in "${variants[@]}"; do
            deploy "$variant"
            run "$seed" "$variant"
            stop_deployment "$seed-$variant"
        done
    done
fi
