#!/bin/sh
# Builds the stand-ins of the cases 6 to 10. Run it in the repository's root.
set -e
cd "$(dirname "$0")/standin-2"
GOWORK=off CGO_ENABLED=0 go build -o bin/standin2 .
