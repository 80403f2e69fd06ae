# The commands of the README. Each does all the set-up it needs; `make build` is the deploy build.
PYTHON = .venv/bin/python

.PHONY: build dev demo check test lint guard bench slopes run rehearse theory scale

build:
	cmp -s requirements.txt .venv/built || (rm -rf .venv && python3 -m venv .venv && .venv/bin/pip -q install -r requirements.txt && cp requirements.txt .venv/built)

# The node's environment and what the kit, the tests and the linters need.
dev: build
	cmp -s pyproject.toml .venv/dev || (.venv/bin/pip -q install -e '.[dev]' && cp pyproject.toml .venv/dev)

demo: dev
	.venv/bin/lemonway demo

check: lint test guard

test: dev
	$(PYTHON) -m pytest -q -p no:cacheprovider

lint: dev
	$(PYTHON) -m ruff check .
	$(PYTHON) -m ruff format --check .
	$(PYTHON) -m mypy

# Counts of the ordinary path against their ceilings; the same in every run.
guard: dev
	$(PYTHON) -m benchmarks --guard

# The whole account of the ordinary path, with up to 1,000 requests in hand: about four minutes.
bench: dev
	$(PYTHON) -m benchmarks

# What each cost comes to by size, for docs/CAPACITY.md: about four minutes, best on a machine with nothing else to do.
slopes: dev
	$(PYTHON) -m benchmarks.slopes

# A node with the example's configuration; start example/toy.py beside it first.
run: build
	EDGE_CONFIG=example/config.json $(PYTHON) -m lemonway --uwsgi example/uwsgi.toml

rehearse: dev
	$(PYTHON) -m lemonway.kit example/rehearsal.toml

# The emulated pool against queueing theory: two million arrivals a case, about three minutes on four cores.
theory: dev
	$(PYTHON) -m lemonway.kit.emulator.theory

# 5,000 nodes' control text over real sockets, ten real nodes and fifteen control processes under faults: four minutes
# of the whole machine. SCALE="--hollow 200 --real 3 --control 5 --seconds 40" for a small one.
scale: dev
	mkdir -p build
	$(PYTHON) -m benchmarks.scale --json build/scale.json --html build/scale.html $(SCALE)
