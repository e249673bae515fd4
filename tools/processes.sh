#!/usr/bin/env bash
# Starts the stand-ins, one entry and SIDECARS (1 or 2) sidecars with their engines as separate processes, creates a
# workspace and a key, runs the given command with the addresses in the environment, and stops the processes. Ports
# 21000 to 21012 must be free. Process ids are in $WORK/NAME.pid, logs in $WORK/NAME.log.
#   tools/processes.sh sh -c 'bin/measure path -s $SERVER -k $KEY -e $ENGINE'
#   SIDECARS=2 tools/processes.sh bash
set -eu
cd "$(dirname "$0")/.."
go build -o bin/ ./cmd/...
WORK=$(mktemp -d)
export WORK
trap 'kill $(jobs -p) 2>/dev/null || true; wait 2>/dev/null || true; rm -rf "$WORK"' EXIT
digest=$(printf op_measure | sha256sum | cut -d' ' -f1)
common='"data_centre": "auckland", "log_url": "http://127.0.0.1:21000", "vm_list_url": "http://127.0.0.1:21001/", "vm_list_every_ms": 200'
start() { # name, command…
  local name=$1
  shift
  "$@" >"$WORK/$name.log" 2>&1 &
  echo $! >"$WORK/$name.pid"
}
sidecar() { # letter, first port of engine, peers, operators
  cat >"$WORK/engine-$1.json" <<J
{"vm": "engine-$1", $common, "listen_peers": "127.0.0.1:$3", "listen_operators": "127.0.0.1:$4",
 "upstream_url": "http://127.0.0.1:$2", "models": ["fake-1"], "capacity": 4000, "queue_limit": 4000}
J
  start "fake-$1" bin/standin engine -l "127.0.0.1:$2" -t "${TOKEN_DELAY:-0ms}"
  start "engine-$1" bin/galenaward sidecar "$WORK/engine-$1.json"
}
cat >"$WORK/entry-a.json" <<J
{"vm": "entry-a", $common, "listen_callers": "127.0.0.1:21004", "listen_peers": "127.0.0.1:21005",
 "listen_operators": "127.0.0.1:21006", "operator_key_digests": ["$digest"]}
J
start log bin/standin log -l 127.0.0.1:21000
start vms bin/standin vms -l 127.0.0.1:21001
sleep 0.5
curl -s -X PUT http://127.0.0.1:21001/ -d '{"vms":[{"vm":"entry-a","role":"entry","address":"127.0.0.1:21005"}]}'
start entry-a bin/galenaward entry "$WORK/entry-a.json"
sidecar a 21002 21007 21008
[ "${SIDECARS:-1}" = 1 ] || sidecar b 21003 21009 21010
export SERVER=http://127.0.0.1:21004 ENGINE=http://127.0.0.1:21002 OPERATORS=http://127.0.0.1:21006
export SIDECAR_OPERATORS=http://127.0.0.1:21008 LOG=http://127.0.0.1:21000
export GALENAWARD_SERVER=$SERVER GALENAWARD_KEY=op_measure PATH="$PWD/bin:$PATH"
until curl -sf "$OPERATORS/ready" >/dev/null; do sleep 0.1; done
until curl -s "$OPERATORS/debug/vars" | grep -q "\"sidecars_known\": ${SIDECARS:-1}"; do sleep 0.1; done
until curl -s "$OPERATORS/debug/vars" | grep -q '"slot_held": 1'; do sleep 0.1; done
galenaward workspace create measure >/dev/null
galenaward settings set /measure -v rate_per_second=1000000 -v burst_requests=1000000 >/dev/null
KEY=$(galenaward key issue measure | sed -n 's/^secret //p')
export KEY
"$@"
