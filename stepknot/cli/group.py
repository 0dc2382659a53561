"""The command group: sections and examples in help, and earlier names as hidden aliases."""

from __future__ import annotations

import functools
from collections.abc import Callable, Mapping, Sequence
from typing import Any, TypeVar

import click

Options = TypeVar("Options")


class Command(click.Command):
    """A command whose help ends with examples of calls."""

    def __init__(self, *args: Any, examples: Sequence[str] = (), **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        self.examples = examples

    def format_epilog(self, ctx: click.Context, formatter: click.HelpFormatter) -> None:
        """Write the examples, one a line, as they would be typed."""
        super().format_epilog(ctx, formatter)
        if self.examples:
            formatter.write_paragraph()
            first, *more = self.examples
            formatter.write(f"  Example: {first}\n")
            for example in more:
                formatter.write(f"           {example}\n")


class RenamedOption(click.Option):
    """An option that is also understood by its earlier names, which help does not show."""

    def __init__(self, *args: Any, earlier: Sequence[str], **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        self.earlier = earlier

    def add_to_parser(self, parser: Any, ctx: click.Context) -> None:
        """Register the shown and the earlier names."""
        shown = self.opts
        self.opts = [*shown, *self.earlier]
        try:
            super().add_to_parser(parser, ctx)
        finally:
            self.opts = shown


class CommandGroup(click.Group):
    """Commands in sections; a command's earlier name runs it, and is shown nowhere.

    Attributes:
        sections: Commands by the title of their section, in the order in which help shows them.
        earlier_names: Commands' names by the names that they had before.
    """

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        self.sections: dict[str, list[str]] = {}
        self.earlier_names: dict[str, str] = {}

    def add_section(
        self, title: str, commands: Sequence[click.Command], earlier: Mapping[str, str]
    ) -> None:
        """Add the commands of one module.

        Args:
            title: The section's title in help.
            commands: The commands in the order of help.
            earlier: Commands' names by their earlier names.
        """
        for command in commands:
            self.add_command(command)
        self.sections[title] = [command.name or "" for command in commands]
        self.earlier_names.update(earlier)

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        """Find a command by its name or its earlier name."""
        return super().get_command(ctx, self.earlier_names.get(cmd_name, cmd_name))

    def format_commands(self, ctx: click.Context, formatter: click.HelpFormatter) -> None:
        """Write each section's commands with the first sentence of their help."""
        for title, names in self.sections.items():
            found = ((name, self.get_command(ctx, name)) for name in names)
            rows = [(name, each.get_short_help_str(200)) for name, each in found if each]
            with formatter.section(title):
                formatter.write_dl(rows)


def takes_options(kind: Callable[..., Options]) -> Callable[..., Callable[..., None]]:
    """Hand a command its arguments and options as one object of `kind`, a dataclass of the same names."""

    def decorate(run: Callable[[Options], None]) -> Callable[..., None]:
        @functools.wraps(run)
        def call(**values: Any) -> None:
            run(kind(**values))

        return call

    return decorate
