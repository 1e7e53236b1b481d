#!/usr/bin/env bash
# Builds the stand-in that the cases 11 to 15 start. The programs of the deploy file are built
# before.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/standin-3 ./review/standin-3
