#!/usr/bin/env bash
# End-to-end test in separate processes, at the size of the Kuttanad deployment. It
# sends load through 7 daemons while failures are injected: a daemon is killed,
# another is suspended (SIGSTOP) until its authority has expired, a primary is
# killed, another is suspended, a primary is cut off from its replicas, the store
# loses responses and is then unavailable, and a daemon drains. The oracle of
# samphirehitch-load checks every response. Exit code 0 means that it found no
# violation.
#
# Usage: e2e/run.sh [SECONDS] [RATE] [SEED]: the duration, and the rate and the seed
# of the load.
set -euo pipefail
cd "$(dirname "$0")/.."
seconds=${1:-30}
rate=${2:-15}
seed=${3:-1}
customers=8

export FLEET_DIR=${E2E_DIR:-$(mktemp -d)} FLEET_DAEMONS=7 FLEET_SERVICES=3 FLEET_SLOTS=2 FLEET_CONNECTIONS=15
mkdir -p "$FLEET_DIR"
. e2e/fleet.sh
trap stop_fleet EXIT

build
ctl() { "$FLEET_DIR/bin/samphirehitchctl" --store "$store_address" --author e2e "$@"; }
start_store
for s in 1 2 3; do start_group "$s"; done
register_daemons
for i in $(seq "$FLEET_DAEMONS"); do start_daemon "$i"; done

{
  for s in 1 2 3; do service_records "$s"; done
  for c in $(seq "$customers"); do customer_records "$c" $((2 * rate)) "$rate"; done
} >"$FLEET_DIR/records.json"
ctl apply "$FLEET_DIR/records.json" >"$FLEET_DIR/apply.out"
logins=()
for c in $(seq "$customers"); do
  secret=$(ctl --output json key new --customer "customer-$c" "key-$c" | sed -n 's/.*"secret": *"\([^"]*\)".*/\1/p')
  logins+=("{\"user\":\"key-$c\",\"password\":\"$secret\"}")
done
for i in $(seq "$FLEET_DAEMONS"); do await "http://$(admin_address "$i")/readyz"; done

# join WORD...: prints the words separated by commas.
join() { local IFS=,; echo "$*"; }
# service_of_load SERVICE: prints a service for the deployment file of
# samphirehitch-load.
service_of_load() {
  printf '{"database":"service-%d","targets":[%s,%s,%s],"target_database":"main","target_login":{"user":"proxy","password":"proxy-password"}}' \
    "$1" "$(member "$1" 1)" "$(member "$1" 2)" "$(member "$1" 3)"
}
entries=()
for i in $(seq "$FLEET_DAEMONS"); do entries+=("\"$(caller_address "$i")\""); done
cat >"$FLEET_DIR/deployment.json" <<JSON
{"entries":[$(join "${entries[@]}")],"logins":[$(join "${logins[@]}")],
 "services":[$(service_of_load 1),$(service_of_load 2),$(service_of_load 3)],"store":"$store_address"}
JSON

# store_faults FAULTS and member_faults SERVICE MEMBER FAULTS: replace the injected
# faults, given as JSON.
store_faults() { post "http://$store_address/admin/store/faults" "$1"; }
member_faults() { post "http://$(target_admin "$1" "$2")/admin/member/faults" "{\"target\":\"service-$1-$2\",\"faults\":$3}"; }
# at PERCENT PREVIOUS: waits from one point of the run to the next, both in percent
# of its duration.
at() { sleep "$(awk -v s="$seconds" -v p="$1" -v q="$2" 'BEGIN {print s * (p - q) / 100}')"; }
# failures: injects the failures one after the other and prints each.
failures() {
  at 10 0; echo "kill entry-2"; signal entry-2 KILL
  at 18 10; echo "stop entry-3"; signal entry-3 STOP
  at 25 18; echo "kill target service-1-1"; signal target-1-1 KILL
  at 32 25; echo "cut service-2-1 off from its group"; member_faults 2 1 '{"cut_from_members":true}'
  at 40 32; echo "continue entry-3"; signal entry-3 CONT
  at 45 40; echo "store loses responses"; store_faults '{"lose_probability":0.5}' || echo "the faults of the store were not set"
  at 50 45; echo "store unavailable, stop target service-3-1"; store_faults '{"down":true}'; signal target-3-1 STOP
  at 65 50; echo "continue target service-3-1"; signal target-3-1 CONT
  at 70 65; echo "store available, reconnect service-2-1 to its group"; store_faults '{}'; member_faults 2 1 '{}'
  at 80 70; echo "drain entry-4"; signal entry-4 TERM
}
failures >"$FLEET_DIR/failures.out" 2>&1 &
script=$!
code=0
"$FLEET_DIR/bin/samphirehitch-load" --deployment "$FLEET_DIR/deployment.json" --duration "${seconds}s" \
  --rate "$rate" --seed "$seed" --out "$FLEET_DIR/report" || code=$?
wait "$script" || true
cat "$FLEET_DIR/failures.out"
exit "$code"
