#!/usr/bin/env bash
# A primary crashes while one replica receives nothing and the other is dark.
exec "$(dirname "$0")/../run_case.sh" sync-replica review/2
