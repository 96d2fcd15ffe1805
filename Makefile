PYTHON ?= python3
EXAMPLE ?= karoo-vaal
TESTS ?=
SEED ?= 1
MINUTES ?= 5
VENV := .venv
BIN := $(VENV)/bin

.PHONY: setup test demo bench report soak soak-recorded lint format proto clean

setup: $(VENV)/.installed

$(VENV)/.installed: pyproject.toml constraints.txt
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/pip install -q --disable-pip-version-check -c constraints.txt -e '.[dev]'
	touch $@

test: setup
	$(BIN)/python -m pytest -n 6 --dist loadfile --no-loadscope-reorder $(TESTS)

lint: setup
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

format: setup
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

demo: setup
	$(BIN)/python -m demo --example $(EXAMPLE)

bench: setup
	$(BIN)/python -m bench

report: setup
	$(BIN)/python -m bench.journal_report

soak: setup
	$(BIN)/python -m soak --seed $(SEED) --minutes $(MINUTES)

soak-recorded: setup
	$(BIN)/python -m soak --recorded

proto: setup
	PATH=$(CURDIR)/$(BIN):$$PATH $(BIN)/python -m grpc_tools.protoc -I . --python_out=. --grpclib_python_out=. knapweeddock/proto/knapweed.proto

clean:
	rm -rf $(VENV) build *.egg-info
