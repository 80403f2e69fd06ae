# The commands of the README. `make build` is the deploy build; `make test` and `make lint` want `make dev` first.
PYTHON = .venv/bin/python

.PHONY: build dev test lint run rehearse

build:
	cmp -s requirements.txt .venv/built || (rm -rf .venv && python3 -m venv .venv && .venv/bin/pip -q install -r requirements.txt && cp requirements.txt .venv/built)

dev: build
	.venv/bin/pip -q install -e '.[dev]'

test:
	$(PYTHON) -m pytest -q -p no:cacheprovider

lint:
	$(PYTHON) -m ruff check . && $(PYTHON) -m mypy

# A node with the example's configuration; start example/toy.py beside it first.
run: build
	EDGE_CONFIG=example/config.json $(PYTHON) -m lemonway --uwsgi example/uwsgi.toml

rehearse:
	$(PYTHON) -m lemonway.kit example/rehearsal.toml
