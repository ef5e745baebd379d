#!/usr/bin/env bash
# Builds the stand-ins of the scripts in review/11 to review/15.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-world ./review/third/platform/world
