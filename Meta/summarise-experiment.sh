#!/usr/bin/env bash
# Compares the runs of Meta/experiments.sh.
# Usage: Meta/summarise-experiment.sh DIRECTORY [BASELINE OURS]; the variants are "baseline" and "ours" unless given.
# Prints for each metric the median (minimum to maximum) over the seeds, of both variants and of the per-seed ratio ours / baseline.
set -euo pipefail

directory=$1
baseline=${2:-baseline}
ours=${3:-ours}

jq -rs --arg baseline "$baseline" --arg ours "$ours" '
def milliseconds: . / 100 | round / 10;
def latencies($class; $histogram): ["p50", "p95", "p99"][] as $quantile
    | select($class[$histogram].count > 0)
    | {key: "\($class.name) \($histogram) \($quantile) ms", value: ($class[$histogram]["\($quantile)Us"] | milliseconds)};
def sum(f): map(f) | add // 0;
# Prefilled tokens without those unique to one request. Includes the first computation of each shared prefix.
def recomputed: (.engines | sum(.prefilled)) - .load.all.promptTokens + .load.all.sharedPrefixTokens;
def measures:
    [ .load.classes[] as $class
      | {key: "\($class.name) succeeded", value: $class.succeeded},
        {key: "\($class.name) failed, late or open", value: ($class.failed + $class.late + $class.openAtEnd)},
        latencies($class; "firstToken"), latencies($class; "total"), latencies($class; "failedTotal") ]
    + [ (.load.classes | map(.failures[]) | group_by(.kind)[] | {key: "failures \(.[0].kind)", value: sum(.count)}),
        (.teams[] | {key: "team \(.team) succeeded %", value: (1000 * .succeeded / .ended | round / 10)}),
        {key: "first token p99 ms, all", value: (.load.all.firstToken.p99Us | milliseconds)},
        {key: "tokens answered in all", value: .load.all.tokens},
        {key: "tokens recomputed", value: recomputed},
        {key: "tokens prefilled", value: (.engines | sum(.prefilled))},
        {key: "tokens found in caches", value: (.engines | sum(.cached))},
        {key: "balance: tokens generated, largest / mean of engines", value: ((.engines | (map(.computed) | max) / (sum(.computed) / length)) * 100 | round / 100)},
        {key: "preemptions", value: (.engines | sum(.preemptions))},
        {key: "send delay p99 ms", value: (.load.all.sendDelay.p99Us | milliseconds)},
        {key: "load average of the machine", value: .loadAverage[1]} ];
def median: sort | if length % 2 == 1 then .[(length - 1) / 2] else (.[length / 2 - 1] + .[length / 2]) / 2 end;
def shown: if length == 0 then "-" else "\(median) (\(min) to \(max))" end;
def rounded: . * 1000 | round / 1000;
(map({key: "\(.variant) \(.seed)", value: (measures | from_entries)}) | from_entries) as $runs
| (map(.seed) | unique) as $seeds
| (map(measures[].key) | reduce .[] as $key ([]; if index($key) then . else . + [$key] end)) as $keys
| "Seeds \($seeds | join(" "))\n\n| measure | \($baseline) | \($ours) | ratio |\n| --- | --- | --- | --- |",
  ($keys[] as $key
  | [$seeds[] as $seed | {b: ($runs["\($baseline) \($seed)"] // {})[$key], o: ($runs["\($ours) \($seed)"] // {})[$key]}] as $pairs
  | "| \($key) | \([$pairs[].b | values] | shown) | \([$pairs[].o | values] | shown) | \([$pairs[] | select(.b != null and .o != null and .b != 0) | .o / .b | rounded] | shown) |")
' "$directory"/*.json
