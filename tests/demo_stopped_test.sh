#!/usr/bin/env bash
# Guards against a demo that blames its relay for what the demo had not told it: stopped over the step in which its
# directory tells that an endpoint drains, it fell silent in the same turn, before it had told anything.
#     demo_stopped_test.sh LAB_PROGRAM RELAY_PROGRAM
set -euo pipefail

"$1" demo --seconds 4 --told-ms 500 --program "$2" &
demo=$!
trap 'kill -KILL "$demo" 2>/dev/null || true' EXIT
sleep 0.35
kill -STOP "$demo"
sleep 0.75
kill -CONT "$demo"
wait "$demo"
