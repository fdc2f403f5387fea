#!/usr/bin/env bash
# Measures the cost of the control plane without callers: processor time, memory,
# bytes and messages to peers, and calls to the store, for several numbers of
# daemons and of services. Prints lines in the format of go test -bench for the
# capacity page.
#
# Usage: e2e/control.sh [SECONDS], the time over which each case is measured.
set -euo pipefail
cd "$(dirname "$0")/.."
window=${1:-20}

# cpu_ticks PID: processor time (user and system) in ticks of 10 ms.
cpu_ticks() { awk '{print $14 + $15}' "/proc/$1/stat"; }
# resident_kib PID: resident memory in KiB.
resident_kib() { awk '/^VmRSS/ {print $2}' "/proc/$1/status"; }
# metric DAEMON NAME: the current value of a daemon's metric, without decimals.
metric() { curl --silent --max-time 2 "http://$(admin_address "$1")/metrics" | awk -v name="$2" '$1 == name {printf "%.0f\n", $2}'; }

# totals: sets ticks, bytes, messages, calls and resident to the sums over all
# daemons.
totals() {
  local i
  ticks=0 bytes=0 messages=0 calls=0 resident=0
  for i in $(seq "$FLEET_DAEMONS"); do
    ticks=$((ticks + $(cpu_ticks "${FLEET_PIDS[entry-$i]}")))
    resident=$((resident + $(resident_kib "${FLEET_PIDS[entry-$i]}")))
    bytes=$((bytes + $(metric "$i" samphirehitch_peer_sent_bytes_total)))
    messages=$((messages + $(metric "$i" samphirehitch_peer_sent_messages_total)))
    calls=$((calls + $(metric "$i" samphirehitch_config_store_calls_total)))
  done
}

# measure NAME DAEMONS SERVICES: starts a deployment, lets it become idle and prints
# the cost during the window. The subshell keeps its settings apart from those of
# the other cases.
measure() (
  FLEET_DIR=$(mktemp -d) FLEET_DAEMONS=$2 FLEET_SERVICES=$3 FLEET_PORT=$((22000 + RANDOM % 8 * 1000))
  cp -r "$binaries" "$FLEET_DIR/bin"
  . e2e/fleet.sh
  trap stop_fleet EXIT
  start_store
  for s in $(seq "$FLEET_SERVICES"); do start_group "$s"; done
  register_daemons
  for i in $(seq "$FLEET_DAEMONS"); do start_daemon "$i"; done
  for s in $(seq "$FLEET_SERVICES"); do service_records "$s"; done |
    "$FLEET_DIR/bin/samphirehitchctl" --store "$store_address" apply -
  for i in $(seq "$FLEET_DAEMONS"); do await "http://$(admin_address "$i")/readyz"; done
  sleep 5
  totals
  local t=$ticks b=$bytes m=$messages c=$calls
  sleep "$window"
  totals
  awk -v name="$1" -v n="$FLEET_DAEMONS" -v w="$window" -v t=$((ticks - t)) -v b=$((bytes - b)) \
    -v m=$((messages - m)) -v c=$((calls - c)) -v r="$resident" 'BEGIN {
      printf "Benchmark%s 1 %.4f core-percent/daemon %.2f MB/daemon %.1f peer-B/s/daemon %.2f peer-msgs/s/daemon %.3f config-calls/s/fleet\n",
        name, t / w / n, r / 1024 / n, b / w / n, m / w / n, c / w
    }'
)

scratch=$(mktemp -d)
trap 'rm -rf "$scratch"' EXIT
binaries=$scratch/bin
go build -o "$binaries/" ./cmd/...
for daemons in 3 7 14 28; do measure "Control/daemons=$daemons" "$daemons" 3; done
for services in 1 3 6 9; do measure "ControlOfServices/services=$services" 7 "$services"; done
