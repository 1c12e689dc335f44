#!/bin/sh
# Measures what control costs with 25, 50 and 100 agents on this machine. Bytes
# are counted on the loopback device, so run nothing else meanwhile.
set -eu
cd "$(dirname "$0")/.."
go test -v -tags experiments -count=1 -timeout 15m -run TestScale ./experiments
cat out/scale.json
