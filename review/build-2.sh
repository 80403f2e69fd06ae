#!/bin/sh
# After the build of the deploy file: what the cases of review/6 to review/10 need besides it. Their stand-ins are plain
# Python; --control (8) and --replication (10) need the extra `replication`, the command `lemonway control` (8) the kit.
set -e
cd "$(dirname "$0")/.."
if ! test -x .venv/bin/lemonway || ! .venv/bin/python -c 'import click, msgspec, xxhash; import lemonway.kit.cli'; then
    .venv/bin/pip -q install -e '.[kit,replication]'
fi
.venv/bin/python -m compileall -q review/lib_2
