#!/bin/sh
# Measures the resource usage of entries and agents with 25, 50 and 100 agents on
# this machine, idle and under load. Network traffic is counted on the loopback
# device, so nothing else must run at the same time.
set -eu
cd "$(dirname "$0")/.."
go test -v -tags experiments -count=1 -timeout 15m -run TestScale ./experiments
cat out/scale.json
