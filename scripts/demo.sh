#!/usr/bin/env bash
# Demonstrates the system on one machine: 3 data centres, 9 entry VMs, fake
# workers and fake backend servers. Jobs are placed, run and explained; requests
# are served while a key is revoked and a data centre is taken out of service.
set -euo pipefail
cd "$(dirname "$0")/.."
DATA=${KQ_DEMO_DATA:-$(mktemp -d)}
mkdir -p "$DATA"/log "$DATA"/events "$DATA"/runs
: >"$DATA/pids"
. scripts/cluster.sh

finish() {
  end '.*workers' || true
  end '.*\.[a-z]+\.[0-9]+$' || true
  end '.*kqentry' || true
  end '.*kqcontrol' || true
}
trap finish EXIT

export KQ_SERVER=http://$NET.11:7100,http://$NET.21:7100,http://$NET.31:7100
export KQ_ACTOR=demo
REQUESTS=${REQUESTS:-1500}
kqctl() { "$BIN/kqctl" "$@"; }

addresses_free
say "starting 9 entry VMs, 48 workers and 18 backend servers; data in $DATA"
for dc in $DCS; do for vm in $VMS; do start_vm "$dc" "$vm"; done; done
until_ok 10 curl -sf http://$NET.11:7200/healthz
"$BIN/kqctl" --server http://$NET.11:7200 init >/dev/null
for dc in $DCS; do
  start_workers "$dc" 16
  for n in 1 2 3; do start_backend "$dc" "$n" extracts; start_backend "$dc" $((n + 3)) calendar; done
done
for dc in $DCS; do for vm in $VMS; do until_ok 20 curl -sf "http://$NET.$dc$vm:7200/readyz"; done; done

say "applying the declarations of examples/fleet"
until_ok 10 kqctl status
kqctl apply -f examples/fleet --wait | tail -2
key() { kqctl key grant "$1" --wait | grep -o 'kq_[0-9a-z_]*' | tail -1; }
yearbook=$(key yearbook)
patterns=$(key patterns)
counter=$(key counter)
say "granted keys to yearbook, patterns and counter"
kqctl status

say "submitting a batch, a service, a gang, an urgent job and one that can never run"
KQ_KEY=$yearbook kqctl job submit --id tables --class batch --workload tables --tasks 30 --run 2s --idempotent
KQ_KEY=$yearbook kqctl job submit --id chapters --class service --workload chapters --tasks 6 --min-running 3
KQ_KEY=$patterns kqctl job submit --id coat --class gang --workload full-coat --tasks 8 --cpu 4 --accelerators 1 --run 2s
KQ_KEY=$counter kqctl job submit --id girth --class urgent --tasks 2 --run 1s
if KQ_KEY=$patterns kqctl job submit --id huge --class batch --cpu 20 --run 1s 2>"$DATA/huge.err"; then
  echo "a job that can never run was accepted"
  exit 1
fi
say "refused: $(cat "$DATA/huge.err")"

say "sending $REQUESTS keyed and $REQUESTS open requests, a third of them not idempotent"
# shellcheck disable=SC2046
"$BIN/kqfake" caller $(entries) --queue extracts --key "$yearbook" --requests "$REQUESTS" --parallel 24 --rate 250 \
  --once-percent 33 --patience 15s --seed 1 --log "$DATA/keyed.log" >"$DATA/keyed.json" &
keyed=$!
# shellcheck disable=SC2046
"$BIN/kqfake" caller $(entries) --queue calendar --requests "$REQUESTS" --parallel 24 --rate 250 \
  --once-percent 33 --patience 15s --seed 2 --log "$DATA/open.log" >"$DATA/open.json" &
open=$!

sleep 2
say "taking data centre dc2 out of service under load"
kqctl dc out dc2 --wait | tail -1
say "revoking the key of counter; a job with this key must be refused"
kqctl key withdraw "$(echo "$counter" | cut -d_ -f2)" --wait | tail -1
if KQ_KEY=$counter kqctl job submit --id late --class urgent --run 1s 2>"$DATA/late.err"; then
  echo "a job with a revoked key was accepted"
  exit 1
fi
say "refused: $(cat "$DATA/late.err")"
sleep 3
say "bringing dc2 back into service"
kqctl dc in dc2 --wait | tail -1

done_jobs() { for j in tables coat girth; do kqctl job status "$j" | grep -q succeeded || return 1; done; }
until_ok 30 done_jobs
for j in tables coat girth chapters; do kqctl job status "$j" | sed -n 1p; done
say "why was task tables.0 placed where it ran?"
kqctl why task tables.0 | sed -n 1,10p

status=0
wait "$keyed" || status=1
wait "$open" || status=1
say "callers: $(cat "$DATA/keyed.json") $(cat "$DATA/open.json")"
kqctl status || true
finish
trap - EXIT
"$BIN/kqtimeline" --html "$DATA/timeline.html" "$DATA/events"
say "timeline: $DATA/timeline.html"

field() { cat "$DATA/keyed.json" "$DATA/open.json" | grep -o "\"$1\":[0-9]*" | cut -d: -f2 | paste -sd+ | bc; }
answered=$(field answered)
lost=$((2 * REQUESTS - answered))
# Counts the request ids that ran more than once on any server. A request that is
# not idempotent keeps its id, which names its data centre, on all retries. A
# caller's retry of an idempotent request gets a new id: it is allowed to run again.
doubled=$(cat "$DATA"/runs/* | awk '{runs[$1] += $2} END {n = 0; for (i in runs) if (runs[i] > 1) n++; print n}')
echo "demo: 4 jobs, $((2 * REQUESTS)) requests, $lost lost, $doubled doubled"
[ "$status" = 0 ] && [ "$lost" = 0 ] && [ "$doubled" = 0 ]
