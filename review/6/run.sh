#!/bin/sh
# Runs the case on real processes. The status is 1 if the rule was broken, 0 if it held, and 2
# if the case could not run. TROUBLE=0 does the same without the disruption. Build first: the
# line of deploy/system.toml and review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
for program in target/endiveturn review/standin-2/bin/standin2; do
  if [ ! -x "$program" ]; then
    echo "$program is missing: run the build of the deploy file and review/build-2.sh"
    exit 2
  fi
done
TROUBLE="${TROUBLE:-1}"
export TROUBLE
exec review/standin-2/bin/standin2 grace review/6/record.txt target/endiveturn
