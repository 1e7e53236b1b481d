#!/bin/sh
# Builds the stand-ins of the review cases. The deploy file's build makes the programs.
set -e
cd "$(dirname "$0")/.."
go build -o target/review-standin ./review/standin
