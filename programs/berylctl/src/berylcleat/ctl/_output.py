"""Output of command results: tables for people, JSON for scripts."""

import json
from collections.abc import Iterable
from typing import Any

from rich.console import Console
from rich.table import Table


def print_json(value: Any) -> None:
    """Print ``value`` as an indented JSON document with sorted keys."""
    print(json.dumps(value, indent=2, sort_keys=True))


def print_table(title: str, columns: tuple[str, ...], rows: Iterable[tuple]) -> None:
    """Print ``rows`` as a table with a title."""
    table = Table(*columns, title=title, title_justify="left")
    for row in rows:
        table.add_row(*(str(cell) for cell in row))
    Console().print(table)
