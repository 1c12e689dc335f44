#!/usr/bin/env bash
# A job is cancelled whose hand-in got no answer.
exec "$(dirname "$0")/../play-3.sh" "$(dirname "$0")" cancel 2 3 16000
