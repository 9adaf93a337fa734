"""Selectors over labels."""

from collections.abc import Mapping
from dataclasses import dataclass

from ._errors import DocumentError

Labels = dict[str, str]


@dataclass(frozen=True, slots=True)
class Requirement:
    """Require that a label has, lacks or merely carries a value."""

    key: str
    operator: str
    value: str = ""

    def matches(self, labels: Mapping[str, str]) -> bool:
        """Tell whether ``labels`` meet this requirement."""
        if self.operator == "exists":
            return self.key in labels
        if self.operator == "=":
            return labels.get(self.key) == self.value
        return labels.get(self.key) != self.value


@dataclass(frozen=True, slots=True)
class Selector:
    """Match labels that meet every requirement."""

    requirements: tuple[Requirement, ...] = ()

    def matches(self, labels: Mapping[str, str]) -> bool:
        """Tell whether ``labels`` meet all requirements."""
        return all(requirement.matches(labels) for requirement in self.requirements)


def parse_selector(text: str) -> Selector:
    """Return the selector written as ``key=value,key!=value,key``.

    The empty text and ``*`` match everything. Raises ``DocumentError``.
    """
    if text.strip() in ("", "*"):
        return Selector()
    return Selector(tuple(_parse_requirement(part) for part in text.split(",")))


def _parse_requirement(part: str) -> Requirement:
    for mark, operator in (("!=", "!="), ("=", "=")):
        if mark in part:
            key, value = part.split(mark, 1)
            return _checked(Requirement(key.strip(), operator, value.strip()), part)
    return _checked(Requirement(part.strip(), "exists"), part)


def _checked(requirement: Requirement, part: str) -> Requirement:
    if not requirement.key or " " in requirement.key or "=" in requirement.value:
        raise DocumentError(
            f"selector: can't read {part!r}",
            "Write key=value, key!=value or key, separated by commas",
        )
    return requirement
