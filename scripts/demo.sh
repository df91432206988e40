#!/usr/bin/env bash
# The main job: seven entry VMs in three failure domains, stand-in targets and
# callers on this machine's loopback, and the merged report at the end.
#
#   scripts/demo.sh             play a workload
#   scripts/demo.sh --kill      kill -9 one entry VM in the middle of it
#
# WORKLOAD, LENGTH, LOAD and SEED set the trace; MEASURE=1 prints what the processes took.
set -euo pipefail
cd "$(dirname "$0")/.."

kill_one=false
[ "${1:-}" = "--kill" ] && kill_one=true
length=${LENGTH:-12s}
load=${LOAD:-0.5}
seed=${SEED:-1}
workload=${WORKLOAD:-bunkerline}

mkdir -p bin
go build -o bin ./tamarackpin ./tamarackpinctl ./tamarackpinload
rm -rf demo
mkdir -p demo

pids=()
cleanup() {
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  wait 2>/dev/null || true
}
trap cleanup EXIT

export TAMARACKPIN_CREDENTIAL=demo-credential-of-operators
domains=(durban-a durban-a durban-a durban-b durban-b richards-bay richards-bay)
control=(true false false true false true false)
vms=""
for i in 0 1 2 3 4 5 6; do
  vms+="${vms:+,}{\"vm\":\"vm$i\",\"failure_domain\":\"${domains[$i]}\",\"peer_address\":\"127.0.0.1:$((7100 + i))\",\"control\":${control[$i]}}"
done
for i in 0 1 2 3 4 5 6; do
  cat > "demo/vm$i.json" <<EOF
{
  "vm": "vm$i",
  "failure_domain": "${domains[$i]}",
  "data_folder": "demo/vm$i",
  "callers": {"address": "127.0.0.1:$((7200 + i))"},
  "targets": {"address": "127.0.0.1:$((7300 + i))"},
  "operators": {"address": "127.0.0.1:$((7400 + i))", "credential": "$TAMARACKPIN_CREDENTIAL"},
  "vms": [$vms]
}
EOF
  bin/tamarackpin check-settings "demo/vm$i.json" > /dev/null
  bin/tamarackpin serve --settings "demo/vm$i.json" 2> "demo/vm$i.log" &
  pids+=($!)
  eval "vm${i}_pid=$!"
done

ctl() { bin/tamarackpinctl --address "127.0.0.1:$((7400 + $1))" "${@:2}"; }
until_ok() { # until_ok SECONDS COMMAND...
  local end=$((SECONDS + $1))
  until "${@:2}" > /dev/null 2>&1; do
    [ $SECONDS -lt $end ] || { echo "not in time: ${*:2}" >&2; "${@:2}"; return 1; }
    sleep 0.1
  done
}
ready() { ctl "$1" status | grep -q 'ready *true'; }
for i in 0 1 2 3 4 5 6; do until_ok 15 ready $i; done
echo "seven entry VMs are ready"

ctl 4 table put --file scripts/demo-table.csv --change-id demo-1 --comment "the demo's table"
bin/tamarackpinload targets --count 5 --record 127.0.0.1:7500 \
  --domain durban-a=127.0.0.1:7300,127.0.0.1:7301,127.0.0.1:7302 \
  --domain durban-b=127.0.0.1:7303,127.0.0.1:7304 \
  --domain richards-bay=127.0.0.1:7305,127.0.0.1:7306 2> demo/targets.log &
pids+=($!)
has_targets() { [ "$(ctl "$1" targets | wc -l)" -eq 6 ]; }
for i in 0 1 2 3 4 5 6; do until_ok 10 has_targets $i; done
echo "15 stand-in targets are live"
has_table() { ctl "$1" status | grep -q 'table version 1'; }
for i in 0 1 2 3 4 5 6; do until_ok 5 has_table $i; done

target=$(ctl 0 targets | awk 'NR == 2 {print $2}')
bin/tamarackpinload experiment overhead --entry 127.0.0.1:7200 --target "$target" --requests 3000
echo

if $kill_one; then
  ( sleep 4; kill -9 "$vm1_pid"; echo "killed entry VM vm1 (of durban-a)" ) &
  pids+=($!)
fi
# Slots times speed of five targets from 1 to 4, in three domains: about 257.
status=0
bin/tamarackpinload run --workload "$workload" --length "$length" --load "$load" --capacity 257 --seed "$seed" \
  --record 127.0.0.1:7500 \
  --entries 127.0.0.1:7200,127.0.0.1:7201,127.0.0.1:7202,127.0.0.1:7203,127.0.0.1:7204,127.0.0.1:7205,127.0.0.1:7206 || status=$?
echo
ctl 6 report
if [ -n "${MEASURE:-}" ]; then
  echo
  echo "entry VM  processor time (1/100 s)  resident memory (KB)"
  for i in 0 1 2 3 4 5 6; do
    pid_name="vm${i}_pid"
    pid=${!pid_name}
    [ -r "/proc/$pid/stat" ] || continue
    echo "vm$i  $(awk '{print $14 + $15}' "/proc/$pid/stat")  $(awk '/VmRSS/ {print $2}' "/proc/$pid/status")"
  done
fi
exit $status
