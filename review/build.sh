#!/bin/sh
# Builds the stand-ins that the scripts of the cases start, into target/.
set -e
cd "$(dirname "$0")/.."
go build -tags review -o target/review-standin ./review/standin
