#!/bin/sh
# Builds the stand-ins that the scripts of the second review start.
set -eu
cd "$(dirname "$0")/.."
go build -tags review -o target/review-2/standin-2 ./review/standin-2
