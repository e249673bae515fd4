#!/usr/bin/env bash
# Plays the case "retention" of review/rig: exit status 1 if the rule was broken, 0 if it held, 2 if it could not run.
# TROUBLE=0 leaves the disruption out.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$folder/../.." || exit 2
[ -x target/review-rig ] && [ -x target/galenaward ] || { echo "build first: the deploy file's build, then review/build.sh"; exit 2; }
exec target/review-rig retention "$folder"
