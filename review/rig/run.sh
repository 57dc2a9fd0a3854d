#!/usr/bin/env bash
# Runs the case whose folder is given, with the command `run` of the deploy file. Ends all that it started.
# Status: 1 the rule was broken, 0 it held, 2 the case could not run.
set -u
folder=$(cd "$1" && pwd)
root=$(cd "$folder/../.." && pwd)
program=$root/target/review/case-$(basename "$folder")
RIG_RUN=$(sed -n 's/^run = "\(.*\)"$/\1/p' "$root/deploy/balancer.toml")
[ -x "$program" ] && [ -x "$root/target/release/shaletide" ] && [ -n "$RIG_RUN" ] || {
  echo "build first: the command \`build\` of the deploy file, then review/build.sh" >&2
  exit 2
}
RIG_TMP=$(mktemp -d)
export RIG_TMP RIG_RUN RIG_ROOT=$root
end() {
  [ -f "$RIG_TMP/pids" ] && while read -r pid; do kill -KILL "$pid" 2> /dev/null; done < "$RIG_TMP/pids"
  rm -rf "$RIG_TMP"
}
trap end EXIT
cd "$folder"
rm -f record.txt
timeout --signal=KILL 115 "$program"
status=$?
[ "$status" -le 1 ] && exit "$status"
exit 2
