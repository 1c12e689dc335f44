#!/bin/sh
# Prints a site file of the bench with kinds of jobs that it leaves out.
# Usage: site.sh mixed|advised SITE > VARIANT; keep VARIANT beside a copy of the
# site's wire.json and CUT, and run, hunt or score it like the site.
set -eu

case "${1:-}" in
mixed) # gangs, scheduled jobs, labels and data on racks in every queue
	exec sed -e 's/timed = 0.0/timed = 0.3/; s/gang = 0.0/gang = 0.4/; s/needs = 0.0/needs = 0.3/; s/near = 0.0/near = 0.4/' "$2" ;;
advised) # queues of which the policy must be asked
	exec sed -e '/^  { name = .* jobs = {/s/gang = 0.0/gang = 0.0, advice = {}/' "$2" ;;
*)
	echo "want mixed or advised and a site file, got: $*" >&2
	exit 2 ;;
esac
