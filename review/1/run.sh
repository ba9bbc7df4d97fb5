#!/usr/bin/env bash
# A planned stop of one of two nodes. Clients have streams in progress and send their next request on the connection that was kept.
# Exits with 1 if an answer that had begun was broken off, 0 if none was, 2 if the case could not run. TROUBLE=0: without the stop.
set -uo pipefail
source "$(dirname "$0")/../common.sh"

storeAddress="$network.100:8225"
cloudAddress="$storeAddress"
cat > "$work/config.json" <<'JSON'
{"version":7,"routes":[{"name":"r-stream","host":"app.example","path-prefix":"/stream/","kind":"streaming","timeout-ms":10000,"target-latency-ms":1500,"priority":2,"service":"pool","max-attempts":1,"anonymous":false,"sticky":true,"resumable":false,"gap-aim-ms":500}],"services":[{"name":"pool","health-path":"/health","max-conns":620,"protocol":"h1","tls":false}],"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000},"tenants":[{"name":"tenant-a","api-keys":["key-of-tenant-a"],"priority":1}]}
JSON
startProcess "$standIn" server --listen="$network.50:8080" --record="$record" --id=i-1
startProcess "$standIn" server --listen="$network.51:8080" --record="$record" --id=i-2
startProcess "$standIn" store --listen="$storeAddress" --record="$record" --config="$work/config.json" --servers="i-1/pool/$network.50:8080/fl-a,i-2/pool/$network.51:8080/fl-b"
sleep 0.3
startNode front-fl-a-1 "$network.1" fl-a
stopped=$lastProcess
startNode front-fl-b-1 "$network.2" fl-b
waitUntilReady "$network.1"
waitUntilReady "$network.2"
# stability-ms after the start, and some.
sleep 4

# First streams of 4.0 to 5.8 s; second ones of 5 s, which the route's 10 s allow.
"$standIn" clients --node="$network.1:8221" --record="$record" --clients=10 --first=40x100 --second=50x100 --stagger-ms=200 > "$work/result" &
clients=$!
started+=("$clients")
sleep 0.5
if [ "$trouble" != 0 ]; then
    note "SIGTERM to front-fl-a-1"
    kill -TERM "$stopped"
fi
wait "$clients"
read -r sent brokenOff < "$work/result" || giveUp "the clients ended early"
if [ "$trouble" != 0 ]; then
    wait "$stopped"
    note "front-fl-a-1 ended with status $?"
fi
grep -q 'client-0-1 status 200 complete' "$record" || giveUp "the first streams were not served"
note "second requests on a kept connection: $sent; answers that began and broke off: $brokenOff"
echo "second requests on a kept connection: $sent; answers that began and broke off: $brokenOff"
[ "$brokenOff" = 0 ]
