VENV ?= .venv
PYTHON := $(VENV)/bin/python
STAMP := $(VENV)/.installed

.PHONY: install demo demo-up test check features bench lock clean

install: $(STAMP)

$(STAMP): requirements.lock pyproject.toml
	test -x $(PYTHON) || python3 -m venv $(VENV)
	$(PYTHON) -m pip install --quiet --disable-pip-version-check -r requirements.lock
	$(PYTHON) -m pip install --quiet --disable-pip-version-check --no-deps --editable .
	touch $(STAMP)

demo: install
	$(PYTHON) -m examples.demo

demo-up: install
	$(PYTHON) -m examples.demo --stay-up

check: install
	$(PYTHON) -m black --check --quiet .
	$(PYTHON) -m ruff check .
	$(PYTHON) -m mypy
	$(VENV)/bin/lint-imports

features: install
	$(PYTHON) -m scripts.run_features

test: check features

# BENCH="config load" runs only these, BASE=<commit> measures that commit too.
bench: install
	$(PYTHON) -m bench $(BENCH)

lock: install
	$(PYTHON) -m pip install --quiet --upgrade -r requirements.in
	$(PYTHON) -m pip freeze --exclude poplarrun --exclude-editable > requirements.lock

clean:
	rm -rf $(VENV) build *.egg-info

BENCHES := bench-path bench-versions bench-load bench-hosts bench-outcomes bench-config bench-orders bench-gateway bench-gateway_load bench-peers bench-placement_choice
.PHONY: $(BENCHES) check-histories capacity reports

$(BENCHES): install
	$(PYTHON) -m bench.$(@:bench-%=%)

# FIRMS="thistledown anellidoro" by default; about two minutes each.
reports: install
	$(PYTHON) -m examples.reports $(FIRMS)

SEEDS ?= 200
check-histories: install
	$(PYTHON) -m scripts.check_histories --seeds $(SEEDS)

capacity: install
	$(PYTHON) -m scripts.capacity
