#!/bin/sh
# Runs the case on real processes. The status is 1 if the rule was broken, 0 if it held, and 2
# if the case could not run. Build first: the line of deploy/system.toml and review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/endiveturn ] && [ -x review/standin-2/bin/standin2 ] || exit 2
exec review/standin-2/bin/standin2 prepared review/8/record.txt target/endiveturn
