#!/bin/sh
# Executes a program once it reads a line from a pipe. Both are named after the symbolic link by which this script is started.
# Until then the process ignores SIGHUP but does not block it. The script starts no process meanwhile, because the shell
# would temporarily block all signals for that.
trap '' HUP
read -r line < "$0.go"
exec "$0.program" "$@"
