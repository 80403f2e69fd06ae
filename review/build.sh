#!/bin/bash
# Prepares what the cases need beyond the build of the deploy file. The stand-ins (review/lib) are plain Python and need
# nothing; case 1 starts nodes with --replication, whose pinned libraries are the project's own extra "replication".
set -euo pipefail
cd "$(dirname "$0")/.."
sh -c "$(python3 -c 'import tomllib; print(tomllib.load(open("deploy/balancer.toml", "rb"))["build"])')"
.venv/bin/python -c 'import msgspec, xxhash' 2>/dev/null || python3 -c '
import tomllib
print(*tomllib.load(open("pyproject.toml", "rb"))["project"]["optional-dependencies"]["replication"], sep="\n")
' | xargs .venv/bin/pip -q install
.venv/bin/python -m compileall -q review/lib review/1 review/2 review/3
