# Functions shared by the scripts that run a fleet on loopback. The script that
# sources this file must run in the root folder of the repository.

bin=bin
conf=examples/demo
logs=$(mktemp -d)
pids=""

# start NAME COMMAND... runs a process in the background; its process identifier
# is in pid_NAME and its output in $logs/NAME.log.
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
			echo "timed out after 15 s waiting for $what:" >&2
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

# watcher_runs reports whether the watcher of the demo settings runs.
watcher_runs() { HV_TOKEN=demo-caller-token $bin/hvctl watchers list | grep -q running; }

# start_fleet starts fakes of the platform services, two gates and three sides, and
# publishes the demo settings.
start_fleet() {
	start log $bin/hvfake log --listen 127.0.0.1:18100
	for i in 1 2 3; do
		start worker-$i $bin/hvfake worker --listen 127.0.0.1:1813$i --cores 4 --memory 8GB --lag 5s
		start upstream-$i $bin/hvfake upstream --listen 127.0.0.1:1812$i --took 5ms
	done
	for i in 1 2; do start gate-$i $bin/hvgate --config $conf/local/gate-$i.json; done
	for i in 1 2 3; do start side-$i $bin/hvside --config $conf/local/side-$i.json; done
	await "the first publication" $bin/hvctl publish $conf/settings
	await "the watcher to run" watcher_runs
	# New key slots refuse keys that were created in their first 2 s.
	sleep 3
}

# send_load ARGS... sends requests and jobs to both gates.
send_load() {
	$bin/hvfake load --gate http://127.0.0.1:18101 --gate http://127.0.0.1:18102 --token demo-caller-token \
		--upstream http://127.0.0.1:18121 --upstream http://127.0.0.1:18122 --upstream http://127.0.0.1:18123 \
		--worker http://127.0.0.1:18131 --worker http://127.0.0.1:18132 --worker http://127.0.0.1:18133 "$@"
}
