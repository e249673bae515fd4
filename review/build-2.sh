#!/usr/bin/env bash
# Builds the stand-ins of the second review, target/review/rig2, with the standard library only. Run it after the build of
# the deploy file.
set -eu
cd "$(dirname "$0")/rig-2"
go build -o ../../target/review/rig2 .
