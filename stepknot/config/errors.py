"""Errors in settings files, and what each is about."""

from __future__ import annotations

from dataclasses import dataclass

from stepknot.errors import StepknotError


@dataclass(frozen=True, slots=True)
class Problem:
    """One thing wrong in a settings file."""

    file: str
    line: int  # 0: of the whole file
    key: str  # with the blocks around it, "" where there is none
    expected: str

    def __str__(self) -> str:
        where = f"{self.file}:{self.line}" if self.line else self.file
        return f"{where}: {self.key}: {self.expected}" if self.key else f"{where}: {self.expected}"


class ConfigError(StepknotError):
    """All problems of a settings file."""

    def __init__(self, problems: list[Problem]) -> None:
        super().__init__("\n".join(map(str, problems)))
        self.problems = problems


class SettingError(StepknotError):
    """A value that a reader rejects; its text is what was expected."""
