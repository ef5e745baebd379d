#!/bin/sh
# Runs gates, sides and fakes of the platform services on loopback, kills one side
# and one gate under load, and fails if a request or job was duplicated, lost or
# falsely reported.
set -eu
cd "$(dirname "$0")/.."
. scripts/fleet.sh

echo "starting fakes of the platform services, two gates and three sides; publishing the settings"
start_fleet

echo "sending requests and jobs; killing side-3 and gate-2 under load"
send_load --urgent 300 --standard 150 --batch 150 --every 20ms --jobs 6 --jobtime 3s --jobwait 40s >"$logs/table.txt" &
load=$!
sleep 1.5
kill -9 "$pid_side_3"
sleep 1.5
kill -9 "$pid_gate_2"
status=0
wait $load || status=$?
cat "$logs/table.txt"
await "the watcher to run after the failures" watcher_runs
if [ $status -ne 0 ]; then
	echo "the demo failed, see the table" >&2
	exit 1
fi
echo "no request or job was duplicated or lost, and the watcher runs"
