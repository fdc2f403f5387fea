#!/usr/bin/env bash
# Runs the tests with the race detector. Seeds are fixed, so that every run has the
# same result. The tests that KNOWN-RED.txt lists are passed over, and the list is printed.
# After a failure, the first lines of each are repeated at the end: a crash prints thousands.
set -euo pipefail
cd "$(dirname "$0")"
skip=()
if [ -s KNOWN-RED.txt ]; then
  cat KNOWN-RED.txt
  known=$(sed -n 's/^test: \(Test[A-Za-z0-9_]*\).*/\1/p' KNOWN-RED.txt | paste -sd '|')
  [ -z "$known" ] || skip=(-skip "^($known)\$")
fi
output=$(mktemp)
trap 'rm -f "$output"' EXIT
status=0
go test -race -timeout 20m "${skip[@]}" ./... ./review/_standin 2>&1 | tee "$output" || status=$?
if [ "$status" -ne 0 ]; then
  echo '== failures'
  grep -E -m 20 -A 25 '^ *--- FAIL|^panic: |^fatal error: |^SIG[A-Z]+: |^unexpected fault|DATA RACE|ThreadSanitizer|^runtime: ' "$output" || true
  grep -E '^(FAIL|---)' "$output" | tail -n 40
fi
exit "$status"
