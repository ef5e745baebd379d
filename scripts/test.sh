#!/bin/sh
# Runs the tests of the packages given as arguments but for those listed in
# KNOWN-RED.txt, which it prints first, and those that match the pattern SKIP.
set -eu
cd "$(dirname "$0")/.."
. scripts/knownred.sh
check_known_red
known=$(known_red_pattern)
if [ -n "$known" ]; then
	echo "tests with a known fault that are passed over ($known_red):"
	known_red_entries
fi
pattern=$known
if [ -n "${SKIP:-}" ]; then
	pattern=${known:+$known|}$SKIP
fi
if [ -n "$pattern" ]; then
	set -- -skip "$pattern" "$@"
fi
exec go test "$@"
