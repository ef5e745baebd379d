#!/bin/sh
# Compares the latency of calls through a gate and a side with direct calls to
# the upstream in the same run. The upstream takes 5 ms for each request.
set -eu
cd "$(dirname "$0")/.."
. scripts/fleet.sh
start_fleet
$bin/hvfake compare --gate http://127.0.0.1:18101 --upstream http://127.0.0.1:18121 --token demo-caller-token
