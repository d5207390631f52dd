#!/usr/bin/env bash
# Plays the case "sync": exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
# TROUBLE=0 plays it without the disruption.
cd "$(dirname "$0")/../.." || exit 2
for program in target/endiveturn review/target/standin; do
  if [ ! -x "$program" ]; then
    echo "$program is missing: run the build of the deploy file and review/build.sh"
    exit 2
  fi
done
export TROUBLE="${TROUBLE:-1}"
exec review/target/standin sync review/2
