#!/usr/bin/env bash
# Builds the stand-ins and the cases of review/6 to review/10 into target/. They use the
# standard library only.
set -euo pipefail
cd "$(dirname "$0")/standin-2"
GOFLAGS=-mod=mod GOWORK=off go build -o ../../target/review2 .
