#!/usr/bin/env bash
# A machine gets SIGTERM while its clients are in transactions.
exec "$(dirname "$0")/../run_case.sh" terminate review/4
