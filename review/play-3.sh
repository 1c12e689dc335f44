#!/usr/bin/env bash
# Plays a case: play-3.sh FOLDER SCENARIO ENTRIES RUNNERS MILLI-CPU. It starts the programs of the deploy file and the
# stand-ins, and ends all of them. TROUBLE=0 plays the case without its disruption.
set -u
folder=$(cd "$1" && pwd)
scenario=$2 entries=$3 runners=$4 cpu=$5
cd "$(dirname "$0")/.."
record=$folder/record.txt
program=$PWD/target/savoryhoist
standin=$PWD/target/review-3
trouble=true
uneven=()
[ "$scenario" = lasting ] && uneven=(--uneven)
[ "${TROUBLE:-1}" = 0 ] && trouble=false
[ -x "$program" ] && [ -x "$standin" ] || { echo "build target/savoryhoist and target/review-3 first" >&2; exit 2; }
work=$(mktemp -d)
pids=()
finish() {
	touch "$work/ended"
	disown -a
	kill -9 "${pids[@]}" 2>/dev/null
	for f in "$work"/runner-*.pid; do
		[ -e "$f" ] && kill -9 "$(cat "$f")" 2>/dev/null
	done
	[ -n "${KEEP_LOGS:-}" ] && cp -r "$work" "$KEEP_LOGS"
	rm -rf "$work"
}
trap finish EXIT
"$standin" settings --dir "$work" --entries "$entries" --runners "$runners" || exit 2
network=$(cat "$work/network")
{
	echo "scenario $scenario, $entries entries, $runners runners of $cpu thousandths of a processor, disruption: $trouble"
} >"$record"
"$standin" store --network "$network" --record "$record" >"$work/store.log" 2>&1 &
pids+=($!)
for ((i = 0; i < entries; i++)); do
	SAVORYHOIST_BOOT=$work/entry-$i.json "$program" platform entry >"$work/entry-$i.log" 2>&1 &
	pids+=($!)
	echo $! >"$work/entry-$i.pid"
done
# A runner that crashes is back a second later, unless it is gone for good.
supervise() {
	trap '' TERM
	while [ ! -e "$work/ended" ] && [ ! -e "$work/gone-$1" ]; do
		"$standin" runner --network "$network" --record "$record" --index "$1" --cpu "$cpu" "${uneven[@]}" >>"$work/runner-$1.log" 2>&1 &
		echo $! >"$work/runner-$1.tmp" && mv "$work/runner-$1.tmp" "$work/runner-$1.pid"
		wait $! 2>/dev/null
		sleep 1
	done
}
for ((i = 0; i < runners; i++)); do
	SAVORYHOIST_BOOT=$work/agent-$i.json "$program" platform agent >"$work/agent-$i.log" 2>&1 &
	pids+=($!)
	echo $! >"$work/agent-$i.pid"
	supervise "$i" 2>/dev/null &
	pids+=($!)
done
folders=()
case $scenario in crashes | lasting | removed) folders=(--dir "$work") ;; esac
"$standin" "$scenario" --network "$network" --record "$record" --trouble="$trouble" "${folders[@]}"
status=$?
exit $status
