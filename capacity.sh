#!/usr/bin/env bash
# Measures the slopes and writes the tables and plots of docs/CAPACITY.md. Takes
# about six minutes. The output of the benchmarks is kept in out/capacity.txt.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p out
{
  go test -run '^$' -bench . -benchtime 3x ./capacity
  go test -run '^$' -bench IdleConnection -benchtime 3x ./connection/caller
  go test -run '^$' -bench Fleet -benchtime 2x ./process/config
  e2e/control.sh 15
} | tee out/capacity.txt
go run ./cmd/samphirehitch-capacity out/capacity.txt
