#!/usr/bin/env bash
# Functions to run a deployment on loopback in separate processes: the stand-in
# store, one process for each target, and the entry daemons. To be sourced by other
# scripts. Logs and settings files go to $FLEET_DIR.
#
# FLEET_DAEMONS and FLEET_SERVICES are the numbers of daemons and of services,
# FLEET_SLOTS and FLEET_CONNECTIONS the limits of each target, and FLEET_PORT the
# first of the ports that are used.

set -euo pipefail

: "${FLEET_DIR:?}" "${FLEET_DAEMONS:=2}" "${FLEET_SERVICES:=1}" "${FLEET_SLOTS:=2}"
: "${FLEET_CONNECTIONS:=15}" "${FLEET_PORT:=21000}"
FLEET_DOMAINS=(alappuzha kottayam thrissur kollam)
# Process IDs by the name given to spawn.
declare -A FLEET_PIDS=()

# Addresses. Daemons, services and the members of a service are numbered from 1.
store_address="127.0.0.1:$FLEET_PORT"
caller_address() { echo "127.0.0.1:$((FLEET_PORT + 10 + $1))"; }
peer_address() { echo "127.0.0.1:$((FLEET_PORT + 130 + $1))"; }
admin_address() { echo "127.0.0.1:$((FLEET_PORT + 250 + $1))"; }
target_address() { echo "127.0.0.1:$((FLEET_PORT + 400 + $1 * 10 + $2))"; }
control_address() { echo "127.0.0.1:$((FLEET_PORT + 500 + $1 * 10 + $2))"; }
target_admin() { echo "127.0.0.1:$((FLEET_PORT + 600 + $1 * 10 + $2))"; }
domain() { echo "${FLEET_DOMAINS[$(($1 % ${#FLEET_DOMAINS[@]}))]}"; }

# spawn NAME COMMAND...: runs a command in the background, with its output in
# NAME.out and NAME.log.
spawn() {
  local name=$1
  shift
  "$@" >"$FLEET_DIR/$name.out" 2>"$FLEET_DIR/$name.log" &
  FLEET_PIDS[$name]=$!
  disown
}

# build: compiles all programs.
build() { go build -o "$FLEET_DIR/bin/" ./cmd/...; }

start_store() {
  spawn store "$FLEET_DIR/bin/samphirehitch-standin" store --address "$store_address"
  await "http://$store_address/admin/store/counts" '{}'
}

# member SERVICE MEMBER: prints a target as a JSON object.
member() {
  printf '{"id":"service-%d-%d","address":"%s","control":"%s","failure_domain":"%s"}' \
    "$1" "$2" "$(target_address "$1" "$2")" "$(control_address "$1" "$2")" "$(domain $(($2 - 1)))"
}

# start_target SERVICE MEMBER [FLAG...]: starts one of the three members of a
# service's group, with further flags for samphirehitch-standin.
start_target() {
  local service=$1 number=$2 remote=() other
  shift 2
  for other in 1 2 3; do
    [ "$other" = "$number" ] || remote+=(--remote "$(member "$service" "$other")")
  done
  spawn "target-$service-$number" "$FLEET_DIR/bin/samphirehitch-standin" group \
    --admin "$(target_admin "$service" "$number")" --member "$(member "$service" "$number")" "${remote[@]}" \
    --slots "$FLEET_SLOTS" --connections "$FLEET_CONNECTIONS" --service-time 1ms \
    --user proxy --password proxy-password "$@"
}

# start_group SERVICE: starts all members, with member 1 as the first primary.
start_group() {
  start_target "$1" 1 --first-primary "service-$1-1"
  start_target "$1" 2
  start_target "$1" 3
}

# register_daemons: adds every daemon to the platform's list of instances, as the
# platform does when it rolls them out.
register_daemons() {
  local i
  for i in $(seq "$FLEET_DAEMONS"); do
    post "http://$store_address/admin/instance/put" \
      "{\"id\":\"entry-$i\",\"peer\":\"$(peer_address "$i")\",\"failure_domain\":\"$(domain $((i - 1)))\",\"state\":\"live\"}"
  done
}

# start_daemon NUMBER: writes the settings file of a daemon and starts it.
start_daemon() {
  cat >"$FLEET_DIR/entry-$1.json" <<JSON
{
  "instance": "entry-$1",
  "failure_domain": "$(domain $(($1 - 1)))",
  "listen": {"callers": "$(caller_address "$1")", "peers": "$(peer_address "$1")", "admin": "$(admin_address "$1")"},
  "store": {"address": "$store_address"},
  "credentials": {"targets": {"user": "proxy", "password": "proxy-password"}}
}
JSON
  spawn "entry-$1" "$FLEET_DIR/bin/samphirehitchd" serve "$FLEET_DIR/entry-$1.json"
}

# post URL BODY: sends JSON and fails when the response is an error.
post() { curl --silent --show-error --fail --max-time 5 --data "$2" "$1" >/dev/null; }

# await URL [BODY]: repeats a request until it succeeds, at most 200 times, which is
# about 20 seconds while connections are refused. It is a POST when there is a body,
# otherwise a GET.
await() {
  local i
  for i in $(seq 200); do
    curl --silent --fail --max-time 1 ${2:+--data "$2"} "$1" >/dev/null 2>&1 && return 0
    sleep 0.1
  done
  echo "no successful response from $1" >&2
  return 1
}

# service_records SERVICE: prints the records of a service and of the route to it.
service_records() {
  cat <<JSON
{"kind":"service","schema":1,"id":"service-$1","spec":{"database":"main","credential":"targets",
 "connections":$FLEET_CONNECTIONS,"slots":$FLEET_SLOTS,"targets":[$(member "$1" 1),$(member "$1" 2),$(member "$1" 3)]}}
{"kind":"route","schema":1,"id":"service-$1","spec":{"service":"service-$1","access":"keyed"}}
JSON
}

# customer_records NUMBER RATE BURST: prints the records of a customer and of its
# rate limit.
customer_records() {
  cat <<JSON
{"kind":"customer","schema":1,"id":"customer-$1","spec":{"name":"Customer $1"}}
{"kind":"limit","schema":1,"id":"customer-$1","spec":{"rate_per_second":$2,"burst":$3}}
JSON
}

# signal NAME SIGNAL: sends a signal to the process that spawn started as NAME.
signal() { kill "-$2" "${FLEET_PIDS[$1]}"; }

# stop_fleet: kills all processes. SIGCONT first continues those that are stopped.
stop_fleet() {
  local name
  for name in "${!FLEET_PIDS[@]}"; do
    kill -CONT "${FLEET_PIDS[$name]}" 2>/dev/null || true
    kill -KILL "${FLEET_PIDS[$name]}" 2>/dev/null || true
  done
  wait 2>/dev/null || true
}
