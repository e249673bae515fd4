#!/usr/bin/env bash
# Regenerates the code in internal/wire/oasgen and internal/wire/ctlpb from api/. Requires protoc on the PATH.
set -eu
cd "$(dirname "$0")/.."
run() { go tool -modfile=tools/go.mod "$@"; }
run ogen --target internal/wire/oasgen --package oasgen --clean --config api/ogen.yml api/openapi.yaml
mkdir -p internal/wire/ctlpb
bin=$(mktemp -d)
trap 'rm -rf "$bin"' EXIT
for t in protoc-gen-go protoc-gen-twirp; do
  printf '#!/bin/sh\nexec go tool -modfile=%s/tools/go.mod %s\n' "$PWD" "$t" >"$bin/$t"
  chmod +x "$bin/$t"
done
PATH="$bin:$PATH" protoc -Iapi --go_out=. --go_opt=module=galenaward.example/galenaward \
  --twirp_out=. --twirp_opt=module=galenaward.example/galenaward api/control.proto
