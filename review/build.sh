#!/usr/bin/env bash
# Builds what the scripts of the cases start besides the daemons, which the build of deploy/system.toml makes. The stand-ins are plain
# modules for Node without dependencies, so that there is nothing to bundle: they are only checked.
cd "$(dirname "$0")" || exit 2
for file in lib/*.mjs [1-5]/*.mjs; do
  [ -e "$file" ] || continue
  node --check "$file" || exit 1
done
[ -s ../target/citronwheel.cjs ] || echo 'target/citronwheel.cjs is missing: the build of deploy/system.toml makes it' >&2
