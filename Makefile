# `make demo` and `make test` are each enough on a clean machine with Python 3.11.
PYTHON ?= python3

.PHONY: demo test
demo: .venv-run/.done
	.venv-run/bin/stepknot demo

test: .venv-dev/.done
	.venv-dev/bin/python -m pytest -q -m cpu_only -n auto --dist worksteal
	.venv-dev/bin/python -m pytest -q -m "event_driven and not measures_time" -n 3 --dist loadfile
	.venv-dev/bin/python -m pytest -q -m "measures_time or not (cpu_only or event_driven)"

.venv-run/.done: requirements-broker.txt pyproject.toml
	rm -rf .venv-run && $(PYTHON) -m venv .venv-run
	.venv-run/bin/pip -q install -r requirements-broker.txt
	.venv-run/bin/pip -q install --no-deps -e .
	touch $@

.venv-dev/.done: requirements-dev.txt requirements-broker.txt pyproject.toml
	rm -rf .venv-dev && $(PYTHON) -m venv .venv-dev
	.venv-dev/bin/pip -q install -r requirements-dev.txt
	.venv-dev/bin/pip -q install --no-deps -e .
	touch $@
