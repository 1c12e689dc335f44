#!/usr/bin/env bash
# Builds the stand-ins of the third review, for the scripts of the cases 11 to 15.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target
go build -tags review3 -o target/review-3 ./review/standin-3
