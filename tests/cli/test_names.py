"""Commands and options: earlier names run the same, and help shows the present ones with examples."""

import re
from pathlib import Path
from typing import Any

import click
import pytest
from click.testing import CliRunner

from stepknot.cli.group import Command, RenamedOption
from stepknot.cli.main import cli

pytestmark = pytest.mark.cpu_only

EARLIER_COMMANDS = {
    "found": "bootstrap-voter",
    "peers": "members",
    "owner": "leases",
    "box": "stand-in-node",
    "day": "fault-day",
    "scale": "scale-test",
}
ROOT = Path(__file__).parents[2]
# Pages for users; logs of the past quote commands as they were typed.
PAGES = sorted(
    path
    for pattern in ("*.md", "docs/*.md", "docs/operators/*.md", "examples/*/*.md")
    for path in ROOT.glob(pattern)
    if path.name not in ("CHANGELOG.md", "results-log.md")
)
CONFIG = "deploy/broker.hcl"
ADMIN = "127.0.0.1:9300"
NODE = [CONFIG, "--listen", "127.0.0.1:1", "--control", "2", "--cell", "0"]
# A command, what it needs besides, then an option by its earlier and its present name.
EARLIER_OPTIONS = [
    ("leases", [ADMIN], ["--yield", "drains"], ["--transfer", "drains"]),
    ("drain", [ADMIN], ["--at-most", "3"], ["--max-draining", "3"]),
    ("drain", [ADMIN], ["--every", "30s"], ["--drain-time", "30s"]),
    ("drain", [ADMIN], ["--stop"], ["--pause"]),
    ("drain", [ADMIN], ["--go-on"], ["--resume"]),
    ("stand-in-node", NODE, ["--tap", "seen"], ["--record", "seen"]),
    ("demo", [], ["--boxes", "6"], ["--nodes", "6"]),
    ("fault-day", [], ["--boxes", "6"], ["--nodes", "6"]),
    ("scale-test", [], ["--real", "5"], ["--brokers", "5"]),
    ("scale-test", [], ["--period", "250ms"], ["--heartbeat-interval", "250ms"]),
    ("scale-test", [], ["--pause", "1s"], ["--max-pause", "1s"]),
]


def command_of(name: str) -> click.Command:
    command = cli.get_command(click.Context(cli), name)
    assert command is not None
    return command


def parsed(name: str, arguments: list[str]) -> dict[str, Any]:
    return command_of(name).make_context(name, list(arguments)).params


@pytest.mark.parametrize(("earlier", "name"), EARLIER_COMMANDS.items())
def test_earlier_command_name_runs_the_same_command(earlier: str, name: str) -> None:
    assert command_of(earlier) is command_of(name)


@pytest.mark.parametrize(("earlier", "name"), EARLIER_COMMANDS.items())
def test_earlier_command_name_gives_the_same_exit_code_and_error(earlier: str, name: str) -> None:
    by_earlier, by_name = (
        CliRunner().invoke(cli, [each, "--no-such-option"]) for each in (earlier, name)
    )
    assert by_earlier.exit_code == by_name.exit_code == 2
    assert by_earlier.output.replace(f"cli {earlier}", f"cli {name}") == by_name.output


@pytest.mark.parametrize(("earlier", "name"), EARLIER_COMMANDS.items())
def test_earlier_command_name_is_hidden(earlier: str, name: str) -> None:
    text = CliRunner().invoke(cli, ["--help"]).output
    assert re.search(rf"^  {name} ", text, re.MULTILINE)
    assert not re.search(rf"^  {earlier} ", text, re.MULTILINE)


def test_every_earlier_command_name_is_tested() -> None:
    assert cli.earlier_names == EARLIER_COMMANDS


@pytest.mark.parametrize(("command", "needed", "earlier", "present"), EARLIER_OPTIONS)
def test_earlier_option_name_means_the_same(
    command: str, needed: list[str], earlier: list[str], present: list[str]
) -> None:
    found = parsed(command, [*needed, *earlier])
    assert found == parsed(command, [*needed, *present]) != parsed(command, needed)


@pytest.mark.parametrize(("command", "needed", "earlier", "present"), EARLIER_OPTIONS)
def test_earlier_option_name_is_hidden(
    command: str, needed: list[str], earlier: list[str], present: list[str]
) -> None:
    text = CliRunner().invoke(cli, [command, "--help"]).output
    assert re.search(rf"^  {present[0]}\b", text, re.MULTILINE)
    assert not re.search(rf"(?<![\w-]){earlier[0]}\b", text)


def test_every_earlier_option_name_is_tested() -> None:
    found = {
        (name, earlier)
        for name, command in cli.commands.items()
        for option in command.params
        if isinstance(option, RenamedOption)
        for earlier in option.earlier
    }
    assert found == {(command, earlier[0]) for command, _, earlier, _ in EARLIER_OPTIONS}


@pytest.mark.parametrize("name", sorted(cli.commands))
def test_help_of_a_command_has_a_sentence_and_exit_codes_are_those_of_the_call(name: str) -> None:
    result = CliRunner().invoke(cli, [name, "--help"])
    assert result.exit_code == 0 and (command_of(name).help or "").splitlines()[0].endswith(".")


@pytest.mark.parametrize("name", sorted(set(cli.commands) - {"stand-in-node"}))
def test_help_of_a_command_ends_with_an_example_that_is_understood(name: str) -> None:
    command = command_of(name)
    assert isinstance(command, Command) and command.examples
    assert f"Example: {command.examples[0]}" in CliRunner().invoke(cli, [name, "--help"]).output
    assert f"stepknot {name}" in command.examples[0]


def test_every_command_is_in_one_section_of_the_help() -> None:
    listed = [name for names in cli.sections.values() for name in names]
    assert sorted(listed) == sorted(cli.commands)


def code_of(page: Path) -> list[str]:
    """Code spans and lines of fenced blocks, but for those of Python."""
    fence = re.compile(r"^```(\w*)\n(.*?)^```", re.MULTILINE | re.DOTALL)
    text = page.read_text()
    blocks = [body for language, body in fence.findall(text) if not language.startswith("py")]
    spans = re.findall(r"`([^`\n]+)`", fence.sub("", text))
    return [line for block in blocks for line in block.splitlines()] + spans


@pytest.mark.parametrize("page", PAGES, ids=lambda page: page.relative_to(ROOT).as_posix())
def test_page_names_commands_as_they_are_called_now(page: Path) -> None:
    called = {
        name
        for code in code_of(page)
        for name in re.findall(r"(?:^|[ (/])stepknot ([a-z][a-z-]+)", code)
    }
    assert called <= set(cli.commands)


def test_every_command_is_on_a_page() -> None:
    code = "\n".join(line for page in PAGES for line in code_of(page))
    assert [name for name in cli.commands if f"stepknot {name}" not in code] == []
