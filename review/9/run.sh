#!/bin/sh
# Runners crash one at a time; TROUBLE=0 plays the same without crashes. SEED=n repeats a choice of runners.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not be played.
set -u
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[ -x target/review-2/standin-2 ] && [ -x target/savoryhoist ] || exit 2
dir=$(mktemp -d) || exit 2
pids=""
stop() {
	for p in $pids; do kill -KILL "$p" 2>/dev/null; done
	wait 2>/dev/null
	rm -rf "$dir"
}
trap stop EXIT
trap 'exit 2' INT TERM
target/review-2/standin-2 crashes "$dir" "$here/record.txt" &
stage=$!
pids="$stage"
n=0
while [ ! -e "$dir/ready" ]; do
	n=$((n + 1))
	[ "$n" -gt 100 ] && exit 2
	sleep 0.1
done
for f in "$dir"/entry-*.json; do
	SAVORYHOIST_BOOT=$f target/savoryhoist platform entry >"${f%.json}.log" 2>&1 &
	pids="$pids $!"
done
for f in "$dir"/agent-*.json; do
	SAVORYHOIST_BOOT=$f target/savoryhoist platform agent >"${f%.json}.log" 2>&1 &
	pids="$pids $!"
done
wait "$stage"
status=$?
pids=$(echo "$pids" | sed "s/^$stage//")
[ -n "${LOGS:-}" ] && cp "$dir"/*.log "$LOGS"/
exit "$status"
