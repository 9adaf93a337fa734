# berylcleat: `make demo` and `make test` set up a fresh machine on their own.
VENV := .venv
PY := $(VENV)/bin/python
PACKAGES := $(wildcard libs/*) $(wildcard programs/*) platform standins
STAMP := $(VENV)/.installed

.PHONY: demo spin test lint format bench slopes capacity spec soak clean

$(STAMP): requirements-dev.txt $(addsuffix /pyproject.toml,$(PACKAGES))
	test -x $(PY) || python3 -m venv $(VENV)
	$(PY) -m pip install -q --disable-pip-version-check -r requirements-dev.txt $(addprefix -e ,$(PACKAGES))
	touch $(STAMP)

demo: $(STAMP)
	$(PY) examples/demo.py --user press

test: $(STAMP) spin
	$(PY) tools/run_features.py

spin:
	@command -v spin >/dev/null || { apt-get update -qq && apt-get install -y -qq spin; } \
	  || { echo "spin is missing: install Debian's package spin"; exit 1; }

lint: $(STAMP)
	$(VENV)/bin/ruff format --check .
	$(VENV)/bin/ruff check .

format: $(STAMP)
	$(VENV)/bin/ruff format .
	$(VENV)/bin/ruff check --fix .

bench: $(STAMP)
	$(PY) benchmarks/bench_routing.py
	$(PY) benchmarks/bench_entry.py
	$(PY) benchmarks/bench_policies.py

slopes: $(STAMP)
	$(PY) benchmarks/slopes.py --write docs/capacity/slopes.json

capacity: $(STAMP)
	$(PY) tools/capacity_page.py --write

spec: $(STAMP) spin
	$(PY) tools/run_features.py --only specs

# make soak FIRST=1 SEEDS=50: random faults from outside on real processes.
FIRST ?= 1
SEEDS ?= 50
soak: $(STAMP)
	$(PY) tools/soak.py --first $(FIRST) --seeds $(SEEDS)

clean:
	rm -rf $(VENV) out
