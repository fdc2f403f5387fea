#!/usr/bin/env bash
# Runs one case of the stand-in: run_case.sh NAME FOLDER. The exit code is 1 if the rule was
# broken, 0 if it held and 2 if the case could not run. TROUBLE=0 leaves the disruption out.
set -u
cd "$(dirname "$0")/.." || exit 2
edge=target/samphirehitch-edge standin=target/review-standin
for program in "$edge" "$standin"; do
  [ -x "$program" ] || { echo "$program is missing: run the build of the deploy file and review/build.sh" >&2; exit 2; }
done
TROUBLE="${TROUBLE:-1}" timeout -k 5 110 "$standin" "$1" "$edge" "$2/record.txt"
case $? in
  0) exit 0 ;;
  1) exit 1 ;;
  *) exit 2 ;;
esac
