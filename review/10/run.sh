#!/usr/bin/env bash
# Plays the case with processes of the system; see claim.txt. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/galenaward ] && [ -x target/review/rig2 ] || { echo "run the build of the deploy file and review/build-2.sh first"; exit 2; }
exec timeout -k 5 110 target/review/rig2 -case allocators -gateways 5 -galenaward target/galenaward -record review/10/record.txt
