#!/usr/bin/env bash
# A key is taken away from clients with open transactions.
exec "$(dirname "$0")/../run_case.sh" revoked-key review/3
