#!/bin/sh
# Builds the stand-ins of the cases into review/bin.
set -e
cd "$(dirname "$0")/standin"
GOFLAGS=-mod=mod GOPROXY=off GOTOOLCHAIN=local GOWORK=off go build -o ../bin/standin .
