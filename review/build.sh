#!/usr/bin/env bash
# Builds the stand-ins of the cases, a module of its own without dependencies.
set -eu
cd "$(dirname "$0")/rig"
GOFLAGS=-buildvcs=false GOWORK=off go build -o ../../target/review-rig .
