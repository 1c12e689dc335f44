#!/bin/sh
# Plays a case: play.sh CASE RECORD. Starts the programs of the deployment with the commands of deploy/system.toml and
# the stand-ins, starts programs that have ended again, and ends them all. The exit status is that of the case.
set -u
cd "$(dirname "$0")/.." || exit 2
case_name=$1
record=$2
[ -x target/savoryhoist ] && [ -x target/review-standin ] || {
	echo "build first: the build of deploy/system.toml, and review/build.sh" >&2
	exit 2
}
dir=$(mktemp -d) || exit 2

# start runs the command "$@" with the settings of the process $name, until it ends.
start() {
	SAVORYHOIST_BOOT="$dir/$name.json" "$@" >>"$dir/$name.log" 2>&1 &
	echo $! >"$dir/$name.pid.new"
	mv "$dir/$name.pid.new" "$dir/$name.pid"
	wait $!
	rm -f "$dir/$name.pid"
}

# keep runs a process, and again a short time after it has ended.
keep() {
	role=$1
	name=$2
	while [ ! -e "$dir/stop" ]; do
		case $role in
		entry) start target/savoryhoist platform entry ;;
		agent) start target/savoryhoist platform agent ;;
		runner) start target/review-standin runner "$dir/$name.json" ;;
		esac
		[ -e "$dir/stop" ] && return
		[ -e "$dir/$name.gone" ] && return
		down=0.5
		[ -e "$dir/$name.down" ] && down=$(cat "$dir/$name.down")
		sleep "$down"
	done
}

clean_up() {
	: >"$dir/stop"
	for file in "$dir"/*.pid; do
		[ -e "$file" ] || continue
		pid=$(cat "$file")
		kill -CONT "$pid" 2>/dev/null
		kill -KILL "$pid" 2>/dev/null
	done
	[ -n "${stage:-}" ] && kill -KILL "$stage" 2>/dev/null
	wait 2>/dev/null
	[ -n "${KEEP_LOGS:-}" ] && mkdir -p "$KEEP_LOGS" && cp "$dir"/*.log "$KEEP_LOGS"
	rm -rf "$dir"
}
trap 'clean_up; exit 2' INT TERM

target/review-standin stage "$case_name" "$dir" "$record" &
stage=$!
for _ in 1 2 3 4 5 6 7 8 9 10 11 12 13 14 15 16 17 18 19 20; do
	[ -e "$dir/programs" ] && break
	sleep 0.1
done
if [ -e "$dir/programs" ]; then
	while read -r role name; do
		keep "$role" "$name" 2>/dev/null &
	done <"$dir/programs"
fi
wait "$stage"
status=$?
stage=
clean_up
exit $status
