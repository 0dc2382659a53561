"""The architecture page names what exists: module paths, dotted names and every package.

Of all other pages for users and developers the paths of modules, tests and pages are checked.
"""

import ast
import re
from pathlib import Path

import pytest

pytestmark = pytest.mark.cpu_only

ROOT = Path(__file__).parent.parent
PAGE = (ROOT / "docs/ARCHITECTURE.md").read_text()
BODY, _, RENAMES = PAGE.partition("\n## Old and new names\n")
PACKAGES = sorted(
    path.parent.relative_to(ROOT).as_posix() for path in (ROOT / "stepknot").glob("*/__init__.py")
)


def code_spans(text: str) -> list[str]:
    """Text in backticks outside fenced blocks."""
    return re.findall(r"`([^`\n]+)`", re.sub(r"```.*?```", "", text, flags=re.DOTALL))


def current_names() -> list[str]:
    """Code spans of the page, without the column of earlier names."""
    rows = [row.split("|") for row in RENAMES.splitlines() if row.startswith("|")]
    return [*code_spans(BODY), *(span for row in rows for span in code_spans(row[2]))]


def paths() -> list[str]:
    """Module and file paths that the page names."""
    spans = (span.rstrip("/") for span in current_names())
    return sorted({span for span in spans if re.fullmatch(r"[\w.-]+(/[\w.-]+)+", span)})


def dotted_names() -> list[str]:
    """Names such as `stepknot.net.loop.Loop`."""
    return sorted(
        {span for span in current_names() if re.fullmatch(r"stepknot(\.\w+)+", span)}
        | set(re.findall(r"python -m (stepknot(?:\.\w+)*)", BODY))
    )


def members(tree: ast.Module | ast.ClassDef) -> dict[str, ast.AST]:
    """Classes, functions and variables that a module or class defines."""
    found: dict[str, ast.AST] = {}
    for node in tree.body:
        if isinstance(node, (ast.ClassDef, ast.FunctionDef)):
            found[node.name] = node
        elif isinstance(node, ast.AnnAssign) and isinstance(node.target, ast.Name):
            found[node.target.id] = node
        elif isinstance(node, ast.Assign):
            found |= {each.id: node for each in node.targets if isinstance(each, ast.Name)}
    return found


def is_defined(dotted: str) -> bool:
    """Whether a dotted name is a package, a module, or defined in one."""
    parts = dotted.split(".")
    place = ROOT
    while parts and (place / parts[0]).is_dir():
        place /= parts.pop(0)
    if not parts:
        return (place / "__init__.py").is_file()
    module = place / f"{parts.pop(0)}.py"
    if not module.is_file():
        return False
    node: ast.AST = ast.parse(module.read_text())
    for part in parts:
        if not isinstance(node, (ast.Module, ast.ClassDef)) or part not in members(node):
            return False
        node = members(node)[part]
    return True


def test_page_names_paths_and_dotted_names() -> None:
    assert len(paths()) > 40 and dotted_names()


@pytest.mark.parametrize("path", paths())
def test_path_on_the_page_exists(path: str) -> None:
    assert (ROOT / path).exists() or (ROOT / "stepknot" / path).exists()


@pytest.mark.parametrize("dotted", dotted_names())
def test_dotted_name_on_the_page_is_defined(dotted: str) -> None:
    assert is_defined(dotted)


@pytest.mark.parametrize("name", ["stepknot.net.loop.Nothing", "stepknot.nothing"])
def test_name_that_is_not_defined_is_seen(name: str) -> None:
    assert not is_defined(name)


@pytest.mark.parametrize("package", PACKAGES)
def test_package_has_a_row_of_its_own(package: str) -> None:
    packages = BODY.partition("\n## Packages\n")[2].partition("\n## ")[0]
    assert f"\n| `{package}` |" in packages


# Pages of the past name files as they were then.
PAGES = sorted(
    path
    for pattern in ("*.md", "docs/*.md", "docs/operators/*.md")
    for path in ROOT.glob(pattern)
    if path.name not in ("CHANGELOG.md", "results-log.md", "ARCHITECTURE.md")
)
FILE = re.compile(r"(?:[\w.-]+/)*[\w.-]+\.(?:py|md|hcl|toml)")
PLACES = ("", "stepknot", "docs", "tests", "bench")
FILES = {
    path.name
    for place in ("stepknot", "docs", "tests", "bench", "deploy", "examples")
    for path in (ROOT / place).rglob("*")
}


@pytest.mark.parametrize("page", PAGES, ids=lambda page: page.relative_to(ROOT).as_posix())
def test_file_on_a_page_exists(page: Path) -> None:
    missing = []
    for name in set(code_spans(page.read_text())):
        if not FILE.fullmatch(name):
            continue
        found = any((ROOT / place / name).exists() for place in PLACES)
        if not found and ("/" in name or name not in FILES):
            missing.append(name)
    assert missing == []
