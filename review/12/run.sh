#!/usr/bin/env bash
# The runner of a long task crashes four times.
exec "$(dirname "$0")/../play-3.sh" "$(dirname "$0")" crashes 3 8 16000
