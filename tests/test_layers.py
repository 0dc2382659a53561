"""Arrows between the packages run one way, downwards."""

import ast
from graphlib import TopologicalSorter
from pathlib import Path

ROOT = Path(__file__).parent.parent / "stepknot"
# From the top. A package imports from those below it only; the laboratory imports all but the command line.
ORDER = [
    "cli",
    "simulation",
    "platform",
    "frontends",
    "broker",
    "discovery",
    "nodes",
    "search",
    "config",
    "net",
    "admission",
    "zones",
    "leases",
    "membership",
    "subsets",
    "library",
]
LIBRARY = {"errors", "logic", "decisions", "interface", "benchlink", "__init__"}
LIBRARY_FILES = [
    *(ROOT / f"{name}.py" for name in sorted(LIBRARY - {"decisions"})),
    *sorted((ROOT / "decisions").glob("*.py")),
]


def layer(module: str) -> str:
    head = module.removeprefix("stepknot").lstrip(".").partition(".")[0]
    return "library" if head in LIBRARY or not head else head


def imports(path: Path) -> set[str]:
    found = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.ImportFrom) and node.module and node.module.startswith("stepknot"):
            found |= {
                f"{node.module}.{each.name}" if node.module == "stepknot" else node.module
                for each in node.names
            }
        elif isinstance(node, ast.Import):
            found |= {each.name for each in node.names if each.name.startswith("stepknot")}
    return found


def test_arrows_run_downwards() -> None:
    wrong = []
    for path in ROOT.rglob("*.py"):
        own = path.relative_to(ROOT).parts
        mine = layer(own[0]) if len(own) > 1 else "library"
        if own == ("__main__.py",):
            continue
        for module in imports(path):
            other = layer(module.replace("stepknot.__version__", "stepknot"))
            if ORDER.index(other) < ORDER.index(mine):
                wrong.append(f"{'/'.join(own)} imports {module}")
    assert not wrong


def test_the_decision_library_needs_the_standard_library_only() -> None:
    for path in LIBRARY_FILES:
        for node in ast.walk(ast.parse(path.read_text())):
            if isinstance(node, ast.ImportFrom):
                assert layer(node.module or "") == "library" or not (node.module or "").startswith(
                    "stepknot"
                )
                assert (node.module or "").partition(".")[0] not in (
                    "orjson",
                    "httptools",
                    "click",
                    "hcl2",
                    "mmh3",
                )


def test_modules_of_the_decision_library_import_in_one_direction() -> None:
    graph = {}
    for path in (ROOT / "decisions").glob("*.py"):
        heads = (name.rpartition(".")[2] for name in imports(path) if ".decisions." in name)
        graph[path.stem] = set(heads)
    assert len(graph) > 10 and graph["aggregator"] and not graph["records"]
    tuple(TopologicalSorter(graph).static_order())  # raises CycleError on a cycle


def test_decisions_of_subsystems_have_no_io_no_clock_and_no_chance_of_their_own() -> None:
    """Steps of the wall's clock, a slow disk or a full socket cannot reach what is not imported."""
    found = []
    for package in ("decisions", "leases", "membership", "subsets", "zones"):
        for path in (ROOT / package).glob("*.py"):
            for node in ast.walk(ast.parse(path.read_text())):
                names = (
                    [node.module or ""]
                    if isinstance(node, ast.ImportFrom)
                    else [each.name for each in node.names]
                    if isinstance(node, ast.Import)
                    else []
                )
                found += [
                    f"{package}/{path.name} imports {name}"
                    for name in names
                    if name.partition(".")[0]
                    in (
                        "time",
                        "datetime",
                        "os",
                        "socket",
                        "select",
                        "threading",
                        "subprocess",
                        "pathlib",
                        "secrets",
                    )
                ]
    assert not found


def test_tests_that_run_on_all_cores_at_once_see_no_clock_socket_or_process() -> None:
    """Beside others they take longer; what they find must not depend on that."""
    measured = (
        "time",
        "datetime",
        "socket",
        "select",
        "signal",
        "subprocess",
        "threading",
        "multiprocessing",
        "resource",
        "tracemalloc",
        "http",
        "stepknot.net.loop",
        "stepknot.net.network",
        "stepknot.simulation.fleet",
        "tests.processes",
        "tests.platform.world",
    )
    marked, wrong = 0, []
    for path in (ROOT.parent / "tests").rglob("test_*.py"):
        text = path.read_text()
        if "\npytestmark = pytest.mark.cpu_only\n" not in text:
            continue
        marked += 1
        for node in ast.walk(ast.parse(text)):
            names = (
                [node.module or ""]
                if isinstance(node, ast.ImportFrom)
                else [each.name for each in node.names]
                if isinstance(node, ast.Import)
                else []
            )
            wrong += [f"{path.name} imports {name}" for name in names if name.startswith(measured)]
            if isinstance(node, ast.FunctionDef):
                wrong += [
                    f"{path.name}: {node.name} takes {each.arg}"
                    for each in node.args.args
                    if each.arg in ("tmp_path", "tmp_path_factory", "monkeypatch")
                ]
    assert marked >= 19 and not wrong
