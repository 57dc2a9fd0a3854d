#!/usr/bin/env bash
# Runs the case of the folder that is given: `rig-2/run.sh FOLDER`. 1: the rule was broken; 0: it held; 2: it could not run.
set -uo pipefail
case=$(cd "$1" && pwd) || exit 2
root=$(cd "$(dirname "$0")/../.." && pwd)
program="$root/target/review-2/case-$(basename "$case")"
if [ ! -x "$program" ] || [ ! -x "$root/target/release/shaletide" ]; then
  echo "not built: the build of the deploy file, then review/build-2.sh" >&2
  exit 2
fi
ROOT=$root CASE=$case timeout --kill-after=2 118 "$program"
status=$?
case $status in 0 | 1) exit $status ;; *) exit 2 ;; esac
