#!/usr/bin/env bash
# One of three servers is taken away 2.8 s after the announcement, and says in all its answers that it is leaving, while the store is
# silent for 4.5 s. Exits with 1 if a request that a client sent later than drain-ms (2 s) after the node had passed on such an answer
# reaches that server, 0 if none does, 2 if the case could not run. TROUBLE=0: the store is not silent.
set -uo pipefail
source "$(dirname "$0")/../common.sh"

storeAddress="$network.100:8225"
cloudAddress="$storeAddress"
cat > "$work/config.json" <<'JSON'
{"version":7,"routes":[{"name":"r-stream","host":"app.example","path-prefix":"/stream/","kind":"streaming","timeout-ms":5000,"target-latency-ms":1200,"priority":1,"service":"pool","max-attempts":1,"anonymous":false,"sticky":true,"resumable":false,"gap-aim-ms":500},{"name":"r-unsafe","host":"app.example","path-prefix":"/unsafe/","kind":"unsafe","timeout-ms":800,"target-latency-ms":100,"priority":2,"service":"pool","max-attempts":1,"anonymous":false}],"services":[{"name":"pool","health-path":"/health","max-conns":620,"protocol":"h1","tls":false}],"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000},"tenants":[{"name":"tenant-a","api-keys":["key-of-tenant-a"],"priority":1}]}
JSON
entry='{"service":"pool","address":"'$network'.52:8080","zone":"fl-a","version":"v1","slots":16,"state":"draining","cold-left-ms":0,"seq":2,"spot":true,"leaves_ms":2800,"born":1}'
startProcess "$standIn" server --listen="$network.50:8080" --record="$record" --id=i-1
startProcess "$standIn" server --listen="$network.51:8080" --record="$record" --id=i-2
startProcess "$standIn" server --listen="$network.52:8080" --record="$record" --id=i-3 --store="$storeAddress" --draining-entry="$entry"
leaving=$lastProcess
startProcess "$standIn" store --listen="$storeAddress" --record="$record" --config="$work/config.json" --servers="i-1/pool/$network.50:8080/fl-a,i-2/pool/$network.51:8080/fl-a,i-3/pool/$network.52:8080/fl-a/16/spot"
store=$lastProcess
sleep 0.3
startNode front-fl-a-1 "$network.1" fl-a
startNode front-fl-b-1 "$network.2" fl-b
waitUntilReady "$network.1"
waitUntilReady "$network.2"
# stability-ms after the start, and some.
sleep 4

"$standIn" steady-clients --node="$network.1:8221" --record="$record" --clients=8 --name=short --seconds=8 --targets=/unsafe/50/x --deadlines-ms=1500 &
clients=$!
started+=("$clients")
"$standIn" steady-clients --node="$network.1:8221" --record="$record" --clients=10 --name=long --seconds=8 --targets=/unsafe/300/x,/stream/10x100/x --deadlines-ms=1500,5000 &
others=$!
started+=("$others")
sleep 2
if [ "$trouble" != 0 ]; then
    note "the store falls silent"
    kill -STOP "$store"
fi
sleep 0.3
note "the machine of server i-3 is to be taken away"
kill -USR1 "$leaving"
sleep 2.8
note "server i-3 is gone"
kill -KILL "$leaving"
sleep 1.4
if [ "$trouble" != 0 ]; then
    note "the store is back"
    kill -CONT "$store"
fi
wait "$clients" "$others"

grep -q 'status 200 complete' "$record" || giveUp "nothing was served"
awk -v drainMs=2000 '
    $2 == "client" && $3 == "sends" { sentAt[$4] = $1 }
    $2 == "client" && $3 == "sees" && $7 == "i-3" && !firstAt { firstAt = $1 }
    $2 == "client" && $3 == "got" { result[$4] = $6 " " $7 }
    $2 == "server" && $3 == "i-3" && $4 == "runs" { reached[$5] = $1 }
    END {
        for (id in reached) {
            if (!firstAt || sentAt[id] <= firstAt + drainMs)
                continue
            ++late
            if (result[id] != "200 complete")
                ++lost
        }
        printf "requests that reached the leaving server too late: %d; of these without their answer: %d\n", late, lost
        exit (late > 0)
    }' "$record" > "$work/result"
status=$?
cat "$work/result"
note "$(cat "$work/result")"
exit "$status"
