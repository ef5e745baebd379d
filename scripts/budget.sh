#!/bin/sh
# Measures the control overhead of a gate and a side: processor time, memory and
# bytes, first idle and then under load. The budget for each daemon is 1.9% of a
# core, 128 MB and 3 KB per second. Under load the bytes include the requests
# themselves.
set -eu
cd "$(dirname "$0")/.."
. scripts/fleet.sh
seconds=${1:-20}
tick=$(getconf CLK_TCK)

ticks() { awk '{print $14 + $15}' "/proc/$1/stat"; }
memory() { awk '/^VmHWM/ {print int($2 / 1000)}' "/proc/$1/status"; }
# bytes ADDRESS prints the sum of the control bytes that a daemon has counted.
bytes() { curl -s "http://$1/metrics" | awk '/^hv_(wire|log)_(sent|received)_bytes/ {n += $2} END {print n + 0}'; }

# measure LABEL COMMAND... runs a command and prints the overhead of the daemons
# meanwhile.
measure() {
	label=$1
	shift
	g0=$(ticks "$pid_gate_1"); s0=$(ticks "$pid_side_1")
	gb0=$(bytes 127.0.0.1:18101); sb0=$(bytes 127.0.0.1:18141)
	t0=$(date +%s%N)
	"$@" >"$logs/measure.log" 2>&1
	t1=$(date +%s%N)
	for d in gate side; do
		if [ $d = gate ]; then
			p=$pid_gate_1 c0=$g0 b0=$gb0 b1=$(bytes 127.0.0.1:18101)
		else
			p=$pid_side_1 c0=$s0 b0=$sb0 b1=$(bytes 127.0.0.1:18141)
		fi
		awk -v l="$label" -v d=$d -v c0="$c0" -v c1="$(ticks "$p")" -v hz="$tick" -v b0="$b0" -v b1="$b1" \
			-v m="$(memory "$p")" -v ns=$((t1 - t0)) 'BEGIN {
				s = ns / 1e9
				printf "%-8s %-6s %8.2f %8d %10.2f\n", l, d, 100 * (c1 - c0) / hz / s, m, (b1 - b0) / 1000 / s
			}'
	done
}

start_fleet
printf "%-8s %-6s %8s %8s %10s\n" state daemon "core %" "MB" "KB/s"
measure idle sleep "$seconds"
measure loaded send_load --urgent 600 --standard 300 --batch 300 --every 20ms --jobs 6 --jobtime 2s --jobwait 30s
