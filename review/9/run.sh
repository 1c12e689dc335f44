#!/bin/sh
# A side machine is told to stop and leaves for good; 1.5 s later the dispatcher's machine is gone and answers nobody (its
# process is stopped by SIGSTOP). TROUBLE=0 plays the same without either. Exits with 1 if the rule was broken, 0 if it held,
# 2 if the case could not be played. LOGS=DIR keeps the logs of the processes.
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
target/review-2/standin-2 removal "$dir" "$here/record.txt" &
stage=$!
pids="$stage"
n=0
while [ ! -e "$dir/ready" ]; do
	n=$((n + 1))
	[ "$n" -gt 100 ] && exit 2
	sleep 0.1
done
start() {
	SAVORYHOIST_BOOT="$dir/$2.json" target/savoryhoist platform "$1" >"$dir/$2.log" 2>&1 &
	echo $! >"$dir/$2.pid"
	pids="$pids $!"
}
for f in "$dir"/entry-*.json; do start entry "$(basename "$f" .json)"; done
for f in "$dir"/agent-*.json; do start agent "$(basename "$f" .json)"; done
agent="" entry=""
while kill -0 "$stage" 2>/dev/null; do
	if [ -z "$agent" ] && [ -e "$dir/remove-agent" ]; then
		agent=$(cat "$dir/remove-agent")
		kill -TERM "$(cat "$dir/agent-$agent.pid")"
	fi
	if [ -z "$entry" ] && [ -e "$dir/remove-entry" ]; then
		entry=$(cat "$dir/remove-entry")
		kill -STOP "$(cat "$dir/entry-$entry.pid")"
	fi
	sleep 0.05
done
wait "$stage"
status=$?
pids=$(echo "$pids" | sed "s/^$stage//")
[ -n "${LOGS:-}" ] && cp "$dir"/*.log "$LOGS"/
exit "$status"
