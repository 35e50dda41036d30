# Every target uses the virtual environment in .venv, which `make .venv` creates from pinned versions.
PY := .venv/bin/python
export PYTHONPATH := src:.

.PHONY: format check reference unit known-red test placement-experiments drain-experiment recovery control-cost
.PHONY: bench silent-connections settings-spread demo region-cut soak stop-soak fuzz soak-mutations overload poison balance capacity

.venv: .venv/.installed

.venv/.installed: requirements.txt pyproject.toml
	test -x $(PY) || python3 -m venv .venv
	$(PY) -m pip install --quiet --disable-pip-version-check -r requirements.txt
	$(PY) -m pip install --quiet --disable-pip-version-check --no-deps --no-build-isolation -e .
	touch .venv/.installed

format: .venv
	$(PY) -m black --quiet src standins tools tests
	$(PY) -m ruff check --quiet --fix src standins tools tests

check: .venv
	$(PY) -m black --check --quiet src standins tools tests
	$(PY) -m ruff check --quiet src standins tools tests
	$(PY) -m tools.reference --check

reference: .venv
	$(PY) -m tools.reference

unit: .venv
	$(PY) -m unittest discover -s tests -t .
	@echo "Not run by these tests, see KNOWN-RED.txt:"
	@sed -n 's/^\([0-9]*\. \)/  \1/p' KNOWN-RED.txt

# Tests of faults that are not mended; they fail.
known-red: .venv
	$(PY) -m unittest tests.known_red_lost

test: check unit

# Compares placement planners; prints one table and writes the plot of the design note.
placement-experiments: .venv
	$(PY) -m tools.placement_experiments --plot docs/notes/placement.png

# Compares ways to order the moves of drains that compete for room.
drain-experiment: .venv
	$(PY) -m tools.placement_drains

recovery: .venv
	$(PY) -m tools.recovery

control-cost: .venv
	$(PY) -m tools.control_cost

bench: .venv
	$(PY) -m tools.bench

silent-connections: .venv
	$(PY) -m tools.silent_connections

settings-spread: .venv
	$(PY) -m tools.settings_spread

demo: .venv
	$(PY) -m tools.demo

region-cut: .venv
	$(PY) -m tools.region_cut

SEED ?= 1
DURATION_S ?= 60
NODES_DURATION_S ?= 20

soak: .venv
	$(PY) -m tools.soak --seed $(SEED) --duration-s $(DURATION_S) $(if $(SUB_SEED),--sub-seed $(SUB_SEED))

SEEDS ?= 1

stop-soak: .venv
	$(PY) -m tools.stop_soak --seed $(SEED) --duration-s $(DURATION_S) --seeds $(SEEDS)

fuzz: .venv
	$(PY) -m tools.fuzz --seed $(SEED) --duration-s $(DURATION_S)
	$(PY) -m tools.fuzz_nodes --seed $(SEED) --duration-s $(NODES_DURATION_S)
	$(PY) -m tools.fuzz_platform --seed $(SEED) --duration-s $(DURATION_S)

soak-mutations: .venv
	$(PY) -m tools.soak_mutations
overload: .venv
	$(PY) -m tools.overload

poison: .venv
	$(PY) -m tools.poison

balance: .venv
	$(PY) -m tools.balance

capacity: .venv
	$(PY) -m tools.capacity
