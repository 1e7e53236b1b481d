#!/usr/bin/env bash
# A version replaces a queue by one of another name, then the entries are stopped in turn.
# TROUBLE=0 leaves the version out. Exit code: 1 the rule was broken, 0 it held, 2 not run.
cd "$(dirname "$0")/../.." || exit 2
for program in target/limpettrail target/standin-3; do
  [ -x "$program" ] || { echo "$program is missing: run the build of the deploy file and review/build-3.sh" >&2; exit 2; }
done
exec target/standin-3 renamed "review/15"
