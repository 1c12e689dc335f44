#!/bin/sh
# Measures what control costs with 25, 50 and 100 agents on this machine, in a
# network namespace of its own where the system lets it make one.
set -eu
cd "$(dirname "$0")/.."
run='go test -v -tags experiments -count=1 -timeout 15m -run TestScale ./experiments'
if unshare --net true 2>/dev/null; then
	unshare --net sh -c "ip link set lo up && $run"
else
	echo "no network of its own: bytes include what others send on the loopback device" >&2
	$run
fi
cat out/scale.json
