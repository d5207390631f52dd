#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the third review start. They use the standard library alone.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
cd review/standin-3
GOWORK=off GOFLAGS=-mod=mod GOPROXY=off go build -o ../../target/review-3 .
