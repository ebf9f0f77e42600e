#!/usr/bin/env bash
# Builds the system, runs it in separate processes on free loopback ports, and demonstrates each of its guarantees
# once. Requires only Rust and bash. Exits with 0, or with 1 after printing the step that failed.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --workspace --locked --quiet
bin=target/debug
work=$(mktemp -d)
pids=()
table="$work/table"
step="start"
began=$(date +%s%N)

finish() {
  code=$?
  for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null || true; done
  wait 2>/dev/null || true
  if [ "$code" -ne 0 ]; then
    echo "tour: failed at: $step" >&2
    grep -hv waxwing::hop "$work"/*.log | tail -n 40 >&2 || true
  fi
  rm -rf "$work"
  exit "$code"
}
trap finish EXIT

now_ms() { echo $((($(date +%s%N) - began) / 1000000)); }

# record WHAT OUTCOME: adds a row to the table that is printed at the end.
record() { printf '%6s ms  %-44s %s\n' "$(now_ms)" "$1" "$2" >>"$table"; }

fail() { echo "tour: $step: $1" >&2; exit 1; }

# run NAME COMMAND...: starts a process and waits for its first line of output, which contains its addresses.
run() {
  local name=$1
  shift
  "$@" >"$work/$name.out" 2>"$work/$name.log" &
  pids+=($!)
  eval "pid_${name//-/_}=$!"
  for _ in $(seq 200); do
    [ -s "$work/$name.out" ] && return 0
    kill -0 "${pids[-1]}" 2>/dev/null || fail "$name terminated: $(cat "$work/$name.log")"
    sleep 0.05
  done
  fail "$name is not ready after 10 s"
}

# address NAME KEY: prints an address that a process reported when it was ready.
address() { sed -n "s/.*\"$2\":\"\([^\"]*\)\".*/\1/p" "$work/$1.out" | head -n 1; }

fetch() { "$bin/waxwing-standin" fetch "$@"; }

# wait_for TEXT COMMAND...: repeats a command until its output contains the text; fails after 300 attempts.
wait_for() {
  local text=$1
  shift
  for _ in $(seq 300); do
    if "$@" 2>/dev/null | grep -q -- "$text"; then return 0; fi
    sleep 0.1
  done
  fail "timed out waiting for \"$text\" from: $*"
}

step="the platform and three workers"
run platform "$bin/waxwing-standin" platform --listen 127.0.0.1:0
platform=$(address platform platform)
for n in 1 2 3; do
  run "worker-$n" "$bin/waxwing-standin" worker --listen 127.0.0.1:0 --platform "$platform" \
    --id "worker-$n" --rack "rack-$n" --domain "domain-$n" --cpu-milli 8000 --memory-mib 32768
done
record "stand-in platform and 3 workers" "started"

step="two entries"
for n in 1 2; do
  cat >"$work/entry-$n.yaml" <<YAML
role: entry
name: entry-$n
region: tour
failure_domain: domain-$n
platform: {address: $platform}
entry: {callers: 127.0.0.1:0, operators: 127.0.0.1:0, peers: 127.0.0.1:0, settings_poll_ms: 500}
coordinator: {shards: 1, heartbeat_ms: 300, member_ttl_ms: 2000, lease_ms: 4000, renew_ms: 300, grace_ms: 20000}
logs: {trace_one_in: 1}
YAML
  "$bin/waxwing" check "$work/entry-$n.yaml" >/dev/null
  run "entry-$n" "$bin/waxwingd" --settings "$work/entry-$n.yaml"
done
callers_1=$(address entry-1 callers)
callers_2=$(address entry-2 callers)
export WAXWING_ENTRY
WAXWING_ENTRY=$(address entry-1 operators)
export WAXWING_AUTHOR=tour

step="three sidecars with upstreams"
for n in 1 2 3; do
  run "upstream-$n" "$bin/waxwing-standin" upstream --listen 127.0.0.1:0 --service-ms 2
  cat >"$work/sidecar-$n.yaml" <<YAML
role: sidecar
name: sidecar-$n
region: tour
failure_domain: domain-$n
platform: {address: $platform}
sidecar:
  service: niveau-service
  upstream: $(address "upstream-$n" upstream)
  entries: [$(address entry-1 peers), $(address entry-2 peers)]
YAML
  run "sidecar-$n" "$bin/waxwingd" --settings "$work/sidecar-$n.yaml"
done
wait_for sidecar-3 "$bin/waxwing" status
record "2 entries, 3 sidecars with upstreams" "connected"

step="the settings tree"
"$bin/waxwing" settings apply examples/riveneige/tree --dry-run >/dev/null
applied=$("$bin/waxwing" settings apply examples/riveneige/tree --wait 5 | tail -n 1)
record "settings apply examples/riveneige/tree" "$applied"

step="quick requests"
for n in $(seq 20); do
  answer=$(fetch GET "http://$callers_1/v1/call/niveau-service/jauge/$n" --header waxwing-team:barrages)
  case $answer in "200 ran"*"/jauge/$n"*) ;; *) fail "unexpected answer: $answer" ;; esac
done
record "20 quick requests" "each got the complete answer to its own request"
load=$("$bin/waxwing-standin" load --entry "$callers_2" --team barrages --service niveau-service \
  --rate 200 --seconds 2 --deadline-ms 1000)
record "400 requests at 200/s" "$(echo "$load" | sed 's/.*"outcomes"://; s/,"p50.*//')"

step="a batch job, evicted and resumed"
for n in 1 2 3; do
  "$bin/waxwing" submit barrages niveau-service sommaire-bassin --tasks 2 \
    --input '{"work_ms": 4000}' --key "summary-$n" >"$work/job-$n"
done
job=$(cat "$work/job-1")
again=$("$bin/waxwing" submit barrages niveau-service sommaire-bassin --tasks 2 \
  --input '{"work_ms": 4000}' --key summary-1)
[ "$again" = "$job" ] || fail "the same idempotency key created another job"
placed() { "$bin/waxwing" --json status | tr -d ' \n'; }
wait_for '"placed":6' placed
record "3 summaries of 2 tasks" "placed on 3 workers; the same key returned the same job"
urgent=$("$bin/waxwing" submit barrages niveau-service jauge-urgente --input '{"work_ms": 300}')
urgent_began=$(now_ms)
wait_for done "$bin/waxwing" job show "$urgent"
record "an urgent task on full workers" "done after $(($(now_ms) - urgent_began)) ms"
evicted=""
for n in 1 2 3; do
  wait_for ', ended' "$bin/waxwing" job show "$(cat "$work/job-$n")"
  "$bin/waxwing" job show "$(cat "$work/job-$n")" >"$work/shown-$n"
  if awk 'NR > 2 && $NF > 0' "$work/shown-$n" | grep -q done; then evicted=$(cat "$work/job-$n"); fi
done
[ -n "$evicted" ] || fail "no task was evicted"
"$bin/waxwing" job result "$evicted" | grep -q '"answer":"done"' || fail "the evicted job has no result"
record "the evicted summary" "resumed from its checkpoint; its result is in the object store"

step="an alert sent twice"
alert() {
  fetch POST "http://$1/v1/watches/niveau-service/seuil-deversoir/alerts" \
    --header waxwing-team:barrages --header idempotency-key:alert-77 --body '{"level": 4.2}'
}
first=$(alert "$callers_1")
case $first in "200 ran"*) ;; *) fail "first alert: $first" ;; esac
second=$(alert "$callers_2")
case $second in "409 "*) ;; *) fail "second alert: $second" ;; esac
ran=0
for n in 1 2 3; do
  count=$(fetch GET "http://$(address "upstream-$n" upstream)/audit" |
    sed -n 's/.*"alert-77":\([0-9]*\).*/\1/p')
  ran=$((ran + ${count:-0}))
done
[ "$ran" = 1 ] || fail "the alert ran $ran times"
record "one alert sent at two entries" "ran once; the second got status 409"

step="a change of a setting"
changed=$("$bin/waxwing" settings set /barrages/niveau-service deadline_ms 300 --wait 5 | tail -n 1)
record "settings set deadline_ms 300" "$changed"

step="a drain under load"
"$bin/waxwing-standin" load --entry "$callers_1" --team barrages --service niveau-service \
  --rate 200 --seconds 3 --deadline-ms 1000 >"$work/drain" &
load_pid=$!
sleep 1
# shellcheck disable=SC2154
kill -TERM "$pid_sidecar_2"
wait "$pid_sidecar_2" || fail "the sidecar exited with $?"
wait "$load_pid"
outcomes=$(sed 's/.*"outcomes"://; s/,"p50.*//' "$work/drain")
[ "$outcomes" = '{"200 ran":600}' ] || fail "outcomes during the drain: $outcomes"
record "sidecar-2 drained under 200 requests/s" "exit 0; $outcomes"

step="billing"
usage() { "$bin/waxwing" usage --team barrages --csv; }
wait_for sommaire-bassin usage
record "usage of team barrages" "$(usage | grep sommaire-bassin)"

step="the drain of an entry"
# shellcheck disable=SC2154
kill -TERM "$pid_entry_2"
wait "$pid_entry_2" || fail "the entry exited with $?"
record "entry-2 drained" "exit 0"

step="the pool on the users' platform: a store, a front, an agent and its worker"
mapfile -t port < <("$bin/waxwing-standin" ports 6)
run site "$bin/waxwing-standin" site --listen 127.0.0.1:0
site=$(address site site)
config='{"version":3,"routes":[{"name":"q","host":"h.example","pathPrefix":"/g/","service":"svc","maxAttempts":2,"stretch":2.0,"targetLatencyMs":500}],"services":[{"name":"svc"}],"limits":{}}'
fetch POST "http://$site/v1/rows-tx" --header content-type:application/json --header x-operator:tour \
  --body "{\"expect\":[],\"writes\":[{\"table\":\"op\",\"part\":\"\",\"key\":\"config\",\"value\":\"$(printf '%s' "$config" | base64 -w 0)\"}]}" >/dev/null
cat >"$work/front.yaml" <<YAML
role: front
name: front-1
region: tour
failure_domain: domain-1
platform: {address: $site}
pool: {peers: "127.0.0.1:${port[0]}", callers: "127.0.0.1:${port[1]}", readiness: "127.0.0.1:${port[2]}", metrics: "127.0.0.1:${port[3]}"}
logs: {json: true, stdout: true}
YAML
cat >"$work/agent.yaml" <<YAML
role: agent
name: side-1
region: tour
failure_domain: domain-1
platform: {address: $site}
pool: {peers: "127.0.0.2:${port[0]}", seeds: ["127.0.0.1:${port[1]}"], check_ins: "127.0.0.1:${port[4]}", worker: "127.0.0.1:${port[5]}"}
logs: {json: true, stdout: true}
YAML
for role in front agent; do
  "$bin/waxwing" check "$work/$role.yaml" >/dev/null
  run "$role" "$bin/waxwingd" --settings "$work/$role.yaml"
done
run site-worker "$bin/waxwing-standin" site-worker --listen "127.0.0.1:${port[5]}" \
  --agent "127.0.0.1:${port[4]}" --service svc --id worker-1
wait_for 200 fetch GET "http://127.0.0.1:${port[2]}/v1/ready"
job="http://127.0.0.1:${port[1]}/g/5c0e7a21d94b36f8"
submitted=$(fetch POST "$job" --header host:h.example --header content-type:application/json \
  --body '{"spec":"{\"ms\":60}","phases":[{"count":3,"cpu":1000,"memMb":100,"estimatedMs":60},{"count":1,"cpu":1000,"memMb":100,"estimatedMs":60,"after":[0]}]}')
case $submitted in "200 "*) ;; *) fail "submitted: $submitted" ;; esac
wait_for completed fetch GET "$job" --header host:h.example
record "a job of two steps at a front" "completed"
# shellcheck disable=SC2154
kill -TERM "$pid_front"
wait "$pid_front" || fail "the front exited with $?"
record "the front stopped as planned" "exit 0; it released its shard"

echo
cat "$table"
