#!/bin/sh
# Runs gates, sides and stand-ins on loopback, kills one side and one gate
# under load, and fails if anything was doubled or lost.
set -eu
cd "$(dirname "$0")/.."
bin=bin
conf=examples/demo
logs=$(mktemp -d)
pids=""

start() {
	name=$1
	shift
	"$@" >"$logs/$name.log" 2>&1 &
	eval "pid_$(echo "$name" | tr - _)=$!"
	pids="$pids $!"
}

stop_all() {
	for p in $pids; do kill "$p" 2>/dev/null || true; done
	wait 2>/dev/null || true
	rm -rf "$logs"
}
trap stop_all EXIT

# await DESCRIPTION COMMAND... repeats a command for up to 15 s.
await() {
	what=$1
	shift
	tries=0
	until "$@" >"$logs/await.log" 2>&1; do
		tries=$((tries + 1))
		if [ $tries -ge 75 ]; then
			echo "gave up waiting for $what:" >&2
			cat "$logs/await.log" >&2
			tail -n 5 "$logs"/*.log >&2
			exit 1
		fi
		sleep 0.2
	done
}

HV_GATE=http://127.0.0.1:18101,http://127.0.0.1:18102
HV_TOKEN=demo-operator-token
export HV_GATE HV_TOKEN

echo "starting the stand-ins, two gates and three sides"
start log $bin/hvfake log --listen 127.0.0.1:18100
for i in 1 2 3; do
	start worker-$i $bin/hvfake worker --listen 127.0.0.1:1813$i --cores 4 --memory 8GB --lag 5s
	start upstream-$i $bin/hvfake upstream --listen 127.0.0.1:1812$i --took 5ms
done
for i in 1 2; do start gate-$i $bin/hvgate --config $conf/local/gate-$i.json; done
for i in 1 2 3; do start side-$i $bin/hvside --config $conf/local/side-$i.json; done

echo "publishing the settings"
await "the first publication" $bin/hvctl publish $conf/settings
running() { HV_TOKEN=demo-caller-token $bin/hvctl watchers list | grep -q running; }
await "the watcher to run" running
sleep 3

echo "sending requests and jobs; killing side-3 and gate-2 on the way"
$bin/hvfake load --gate http://127.0.0.1:18101 --gate http://127.0.0.1:18102 --token demo-caller-token \
	--upstream http://127.0.0.1:18121 --upstream http://127.0.0.1:18122 --upstream http://127.0.0.1:18123 \
	--worker http://127.0.0.1:18131 --worker http://127.0.0.1:18132 --worker http://127.0.0.1:18133 \
	--urgent 300 --standard 150 --batch 150 --every 20ms --jobs 6 --jobtime 3s --jobwait 40s >"$logs/table.txt" &
load=$!
sleep 1.5
kill -9 "$pid_side_3"
sleep 1.5
kill -9 "$pid_gate_2"
status=0
wait $load || status=$?
cat "$logs/table.txt"
await "the watcher to run after the failures" running
if [ $status -ne 0 ]; then
	echo "the demo failed: see the table" >&2
	exit 1
fi
echo "nothing was doubled or lost, and the watcher runs"
