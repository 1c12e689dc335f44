#!/usr/bin/env bash
# The machine of a worker is lost for good, and then that of the dispatcher.
exec "$(dirname "$0")/../play-3.sh" "$(dirname "$0")" removed 3 8 16000
