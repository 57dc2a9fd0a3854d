#!/usr/bin/env bash
# TROUBLE=0 plays the same without the disruption. Writes record.txt beside this script.
export TROUBLE=${TROUBLE:-1}
here=$(cd "$(dirname "$0")" && pwd)
bash "$here/../rig/run.sh" "$here"
