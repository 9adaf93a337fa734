"""Label selectors."""

from collections.abc import Mapping
from dataclasses import dataclass

from ._errors import DocumentError

Labels = dict[str, str]


@dataclass(frozen=True, slots=True)
class Requirement:
    """Condition on one label: equal to a value, not equal to it, or present."""

    key: str
    operator: str
    value: str = ""

    def matches(self, labels: Mapping[str, str]) -> bool:
        """Return whether ``labels`` meet this requirement."""
        if self.operator == "exists":
            return self.key in labels
        if self.operator == "=":
            return labels.get(self.key) == self.value
        return labels.get(self.key) != self.value


@dataclass(frozen=True, slots=True)
class Selector:
    """Conjunction of requirements on labels."""

    requirements: tuple[Requirement, ...] = ()

    def matches(self, labels: Mapping[str, str]) -> bool:
        """Return whether ``labels`` meet all requirements."""
        return all(requirement.matches(labels) for requirement in self.requirements)


def parse_selector(text: str) -> Selector:
    """Parse a selector such as ``key=value,key!=value,key``.

    The empty text and ``*`` match everything. Raises ``DocumentError`` if the syntax
    is invalid.
    """
    if text.strip() in ("", "*"):
        return Selector()
    return Selector(tuple(_parse_requirement(part) for part in text.split(",")))


def _parse_requirement(part: str) -> Requirement:
    for separator, operator in (("!=", "!="), ("=", "=")):
        if separator in part:
            key, value = part.split(separator, 1)
            return _validate(Requirement(key.strip(), operator, value.strip()), part)
    return _validate(Requirement(part.strip(), "exists"), part)


def _validate(requirement: Requirement, part: str) -> Requirement:
    if not requirement.key or " " in requirement.key or "=" in requirement.value:
        raise DocumentError(
            f"selector: can't read {part!r}",
            "Use key=value, key!=value or key, separated by commas",
        )
    return requirement
