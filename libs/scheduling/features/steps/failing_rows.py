"""Rows of workers' reports whose processing raises an exception."""

from dataclasses import dataclass

from berylcleat.model import TaskKey


class FailingRowError(Exception):
    """Exception that no code expects."""


@dataclass(frozen=True)
class FailingRow:
    """Row of a running task, or of an end, whose later fields can't be read."""

    number: int
    task: TaskKey
    run: int

    def __getattr__(self, name: str):
        """Raise for each field that follows the run."""
        raise FailingRowError(name)
