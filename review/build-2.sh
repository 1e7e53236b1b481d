#!/usr/bin/env bash
# Builds the stand-ins of the cases of the second review. The build line of the deploy file
# builds the system itself.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
go build -o target/standin-2 ./review/standin-2
