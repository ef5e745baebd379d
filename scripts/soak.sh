#!/bin/sh
# Runs the randomized tests with new seeds for a number of minutes and stops at the
# first failure. Each line printed is the command that reproduces a run.
set -eu
cd "$(dirname "$0")/.."
minutes=${1:-10}
checks=${CHECKS:-2000}
end=$(($(date +%s) + 60 * minutes))
runs=0
while [ "$(date +%s)" -lt "$end" ]; do
	seed=$(od -An -N4 -tu4 /dev/urandom | tr -d ' ')
	for p in hvkey hvhost hvslot hvtask hvshard hvdispatch hvadmit; do
		echo "go test -count=1 ./$p -rapid.seed=$seed -rapid.checks=$checks"
		go test -count=1 -timeout 30m "./$p" -rapid.seed="$seed" -rapid.checks="$checks" || exit 1
		runs=$((runs + 1))
	done
done
echo "$runs runs without failure"
