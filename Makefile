# Two commands from a bare checkout: `make demo` and `make test`.
VENV := .venv
PY := $(VENV)/bin/python
STAMP := $(VENV)/.stamp-$(shell cat requirements.lock | sha256sum | cut -c1-12)
SOURCES := $(wildcard packages/*/src) platform/src platform/soak/src testkit/src standins/src
empty :=
space := $(empty) $(empty)
export PYTHONPATH := $(subst $(space),:,$(addprefix $(CURDIR)/,$(SOURCES)))
export PYTHONDONTWRITEBYTECODE := 1

.PHONY: setup demo playground test lint format bench soak soak-platform

setup: $(STAMP)

$(STAMP):
	test -x $(PY) || python3 -m venv $(VENV)
	$(PY) -m pip install --quiet --disable-pip-version-check -r requirements.lock
	touch $@

demo: setup
	$(PY) -m zinniaweir_testkit.demo

playground: setup
	$(PY) -m zinniaweir_testkit.playground

lint: setup
	$(PY) -m ruff format --check .
	$(PY) -m ruff check .

format: setup
	$(PY) -m ruff format .
	$(PY) -m ruff check --fix .

test: setup
	$(PY) -m zinniaweir_testkit.known_red

bench: setup
	$(PY) -m bench

soak: setup
	$(PY) -m zinniaweir_testkit.soak --seed $(or $(SEED),1)

soak-platform: setup
	$(PY) -m zinniaweir_soak.main --seed $(or $(SEED),1) --count $(or $(COUNT),1)
