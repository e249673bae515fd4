#!/usr/bin/env bash
# Runs every test with the race detector and fixed seeds, two packages at a time, since some tests depend on timing. The
# tests with crowds of callers run alone afterwards: they would disturb other tests, and other load would disturb them.
# Failures of tests that KNOWN-RED.txt lists are printed and do not fail the run.
set -u
cd "$(dirname "$0")/.."
log=$(mktemp)
trap 'rm -f "$log"' EXIT
crowd=./platform/crowd
others=$(go list ./... | grep -v '/platform/crowd$')
go test -race -count=1 -p 2 -timeout 20m "$@" $others >"$log" 2>&1
code=$?
go test -race -count=1 -timeout 20m "$@" $crowd >>"$log" 2>&1 || code=1
grep -v 'no test files' "$log"
[ "$code" = 0 ] && exit 0
if grep -qE '^panic: |\[(build|setup) failed\]|WARNING: DATA RACE' "$log"; then
  echo "a package did not build, panicked or has a data race"
  exit 1
fi
failed=$(sed -n 's/^ *--- FAIL: \([^ ]*\).*/\1/p' "$log" | sort -u)
[ -n "$failed" ] || exit "$code"
bad=0
for t in $failed; do
  if grep -q "^test: $t\$" KNOWN-RED.txt; then echo "known red: $t"; else echo "unexpected failure: $t"; bad=1; fi
done
exit $bad
