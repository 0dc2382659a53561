"""The page of log events names exactly the events that the code logs."""

import ast
import re
from collections import Counter
from collections.abc import Iterator
from pathlib import Path

import pytest

from stepknot.cli import logs as program_logs
from stepknot.platform import log as platform_logs

pytestmark = pytest.mark.cpu_only

ROOT = Path(__file__).parent.parent
PAGE = (ROOT / "docs/operators/log-events.md").read_text()
# Functions and methods whose first argument is an event's name.
LOG_FUNCTIONS = {"log", "on_event", "log_event"}
# Lists of (event, fields) that a driver logs later.
EVENT_LISTS = {"events"}
LEVELS = {"debug", "info", "error"}
# Calls of functions with such a name that log nothing, or hand on an event that is found where it is made.
OTHER_CALLS = {"self._log_event(event)", "link.on_event(mask)", "self.health.on_event(now)"}
Texts = dict[str, set[str]]  # by variable of a module, the texts that are assigned to it


def literals(node: ast.expr, variables: Texts) -> set[str]:
    """Texts that an expression may be: a constant, branches of a conditional one, or a variable's."""
    if isinstance(node, ast.Constant) and isinstance(node.value, str):
        return {node.value}
    if isinstance(node, ast.IfExp):
        return literals(node.body, variables) | literals(node.orelse, variables)
    if isinstance(node, ast.Name):
        return variables.get(node.id, set())
    return set()


def assigned_in(tree: ast.Module) -> Texts:
    """The texts that a module assigns to its variables."""
    found: Texts = {}
    for node in ast.walk(tree):
        if isinstance(node, ast.Assign):
            for target in node.targets:
                if isinstance(target, ast.Name):
                    found.setdefault(target.id, set()).update(literals(node.value, {}))
    return found


def event_argument(call: ast.Call) -> ast.expr | None:
    """The argument that names the event; none where a call logs nothing."""
    if not call.args:
        return None
    first, function = call.args[0], call.func
    if isinstance(function, ast.Name):
        return first if function.id in LOG_FUNCTIONS else None
    if not isinstance(function, ast.Attribute):
        return None
    if function.attr.lstrip("_") in LOG_FUNCTIONS:
        return first
    is_list = isinstance(function.value, ast.Attribute) and function.value.attr in EVENT_LISTS
    if is_list and function.attr == "append" and isinstance(first, ast.Tuple):
        return first.elts[0]
    return None


def logged_calls(source: str) -> Iterator[tuple[str, ast.Call]]:
    """Each event that a module logs, with the call."""
    tree = ast.parse(source)
    variables = assigned_in(tree)
    for node in ast.walk(tree):
        if isinstance(node, ast.Call) and (argument := event_argument(node)) is not None:
            for name in literals(argument, variables):
                yield name, node


def logged_in(source: str) -> set[str]:
    """Names of all events that a module logs."""
    return {name for name, _ in logged_calls(source)}


def fields_of(call: ast.Call) -> set[str]:
    """Names of the fields that a call gives by keyword; those of mappings are not known here."""
    return {word.arg for word in call.keywords if word.arg is not None} - {"exc_info"}


def logged_fields() -> dict[str, set[str]]:
    """By event the fields that its calls give by keyword."""
    found: dict[str, set[str]] = {}
    for path in sorted((ROOT / "stepknot").rglob("*.py")):
        for name, call in logged_calls(path.read_text()):
            found.setdefault(name, set()).update(fields_of(call))
    return found


def logged_events() -> set[str]:
    return {
        name
        for path in sorted((ROOT / "stepknot").rglob("*.py"))
        for name in logged_in(path.read_text())
    }


def rows() -> list[list[str]]:
    """The tables' rows as cells; the name of the event is without its code marks."""
    lines = (line for line in PAGE.splitlines() if re.match(r"\| (?!event \||---)", line))
    cells = ([cell.strip() for cell in re.split(r"(?<!\\)\|", line)[1:-1]] for line in lines)
    return [[name.strip("`"), *others] for name, *others in cells]


@pytest.mark.parametrize(
    ("source", "names"),
    [
        ('self.log("lease_lost", why=why)', {"lease_lost"}),
        ('log("a_done" if good else "a_failed")', {"a_done", "a_failed"}),
        ('self.core.log("query_ended")', {"query_ended"}),
        ('event = "a_done" if good else "a_failed"\nself.log(event)', {"a_done", "a_failed"}),
        ('self.events.append(("job_owned", {"job": name}))', {"job_owned"}),
        ("math.log(2.0)", set()),
        ('print("lease_lost")', set()),
    ],
)
def test_event_is_found_by_the_call_that_logs_it(source: str, names: set[str]) -> None:
    assert logged_in(source) == names


def test_every_logged_event_has_a_row_and_every_row_an_event() -> None:
    logged, shown = logged_events(), {row[0] for row in rows()}
    assert len(logged) > 30
    assert sorted(logged - shown) == []
    assert sorted(shown - logged) == []


def test_every_logged_events_name_is_known_to_this_test() -> None:
    unknown = []
    for path in sorted((ROOT / "stepknot").rglob("*.py")):
        tree = ast.parse(path.read_text())
        variables = assigned_in(tree)
        for node in ast.walk(tree):
            if isinstance(node, ast.Call) and (argument := event_argument(node)) is not None:
                code = ast.unparse(node)
                if not literals(argument, variables) and not code.startswith("math.log("):
                    unknown.append(code)
    assert set(unknown) <= OTHER_CALLS


def test_no_event_has_two_rows() -> None:
    assert [name for name, count in Counter(row[0] for row in rows()).items() if count > 1] == []


def test_event_names_are_snake_case() -> None:
    assert [name for name in logged_events() if not re.fullmatch(r"[a-z]+(_[a-z]+)*", name)] == []


def test_rows_are_complete_and_their_levels_known() -> None:
    assert [row for row in rows() if len(row) != 5 or not all(row) or row[1] not in LEVELS] == []


def levels_of(event: str) -> set[str]:
    """Levels at which the programs log an event: the platform's has debug lines of its own."""
    if event in program_logs.DEBUG_EVENTS:
        return {"debug"}
    if event in program_logs.ERROR_EVENTS:
        return {"error"}
    if event in platform_logs.DEBUG_EVENTS or event == "decision_made":  # by STEPKNOT_LOG
        return {"debug", "info"}
    return {"info"}


def test_levels_are_those_of_the_programs() -> None:
    wrong = [(name, level) for name, level, *_ in rows() if level not in levels_of(name)]
    assert wrong == []


def test_rows_name_each_field_that_is_logged() -> None:
    fields = logged_fields()
    missing = {
        row[0]: sorted(fields[row[0]] - set(re.findall(r"`(\w+)`", row[2]))) for row in rows()
    }
    assert {name: left for name, left in missing.items() if left} == {}


def test_events_with_a_level_of_their_own_are_logged() -> None:
    named = program_logs.DEBUG_EVENTS | program_logs.ERROR_EVENTS | platform_logs.DEBUG_EVENTS
    assert sorted(named - logged_events()) == []
