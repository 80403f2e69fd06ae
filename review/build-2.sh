#!/bin/sh
# After the build of the deploy file: what the cases of review/6 to review/10 need besides it. The stand-ins are plain
# Python and are only compiled here; --replication needs the extra of that name.
set -e
cd "$(dirname "$0")/.."
.venv/bin/python - <<'PY' > .venv/review-2.txt
import tomllib
print("\n".join(tomllib.load(open("pyproject.toml", "rb"))["project"]["optional-dependencies"]["replication"]))
PY
.venv/bin/python -c 'import msgspec, xxhash' 2>/dev/null || .venv/bin/pip -q install -r .venv/review-2.txt
.venv/bin/python -m compileall -q review/lib_2
