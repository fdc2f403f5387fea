#!/usr/bin/env bash
# Runs the tests with the race detector. Seeds are fixed, so that every run has the
# same result.
set -euo pipefail
cd "$(dirname "$0")"
go test -race -timeout 20m ./...
