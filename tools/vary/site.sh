#!/bin/sh
# Prints a variant of a benchmark's site file with kinds of jobs that the site
# does not have. Usage: site.sh mixed|advised SITE > VARIANT. Keep VARIANT in a
# folder with a copy of the site's wire.json and CUT, and run, hunt or score it
# like the site.
set -eu

case "${1:-}" in
mixed) # adds gangs, scheduled jobs, required labels and data locality by rack to every queue
	exec sed -e 's/timed = 0.0/timed = 0.3/; s/gang = 0.0/gang = 0.4/; s/needs = 0.0/needs = 0.3/; s/near = 0.0/near = 0.4/' "$2" ;;
advised) # makes every queue ask the placement policy
	exec sed -e '/^  { name = .* jobs = {/s/gang = 0.0/gang = 0.0, advice = {}/' "$2" ;;
*)
	echo "want mixed or advised and a site file, got: $*" >&2
	exit 2 ;;
esac
