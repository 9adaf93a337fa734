"""Versioned configuration: services, label-based rules and teams."""

from dataclasses import dataclass, field, replace

from ._errors import DocumentError
from ._resources import Resources
from ._selectors import Labels, parse_selector

RULE_KINDS = ("service", "job")


@dataclass(frozen=True, slots=True)
class Service:
    """Service whose requests the upstreams of matching workers handle."""

    name: str
    labels: Labels = field(default_factory=dict)
    placement: str = "*"
    priority: int = 100
    retired: bool = False
    reserve: Resources = field(default_factory=Resources)
    slots_per_worker: int = 8
    connections_per_worker: int = 64
    deadline_ms: int = 2000
    idempotent_methods: tuple[str, ...] = ("GET", "HEAD", "PUT", "DELETE", "OPTIONS")


@dataclass(frozen=True, slots=True)
class Rule:
    """Override of fields of all services or jobs that match a selector."""

    selector: str
    kind: str = "service"
    priority: int | None = None
    placement: str | None = None
    retired: bool | None = None


@dataclass(frozen=True, slots=True)
class Team:
    """Team and its share (0 to 1) of the batch capacity."""

    name: str
    share: float


@dataclass(frozen=True, slots=True)
class ConfigDocument:
    """Version of the whole configuration."""

    version: int = 0
    author: str = ""
    services: tuple[Service, ...] = ()
    rules: tuple[Rule, ...] = ()
    teams: tuple[Team, ...] = ()


@dataclass(frozen=True, slots=True)
class EffectivePolicy:
    """Priority, placement and retirement of a service or job after all rules."""

    priority: int
    placement: str
    retired: bool


def apply_rules(
    base: EffectivePolicy, kind: str, labels: Labels, rules: tuple[Rule, ...]
) -> EffectivePolicy:
    """Return ``base`` with all matching rules applied in order."""
    for rule in rules:
        if rule.kind == kind and parse_selector(rule.selector).matches(labels):
            base = _override(base, rule)
    return base


def _override(base: EffectivePolicy, rule: Rule) -> EffectivePolicy:
    changes = {
        name: getattr(rule, name)
        for name in ("priority", "placement", "retired")
        if getattr(rule, name) is not None
    }
    return replace(base, **changes)


def effective_services(document: ConfigDocument) -> dict[str, Service]:
    """Return all services by name, with the matching rules applied."""
    return {
        service.name: _apply_service_rules(service, document.rules)
        for service in document.services
    }


def _apply_service_rules(service: Service, rules: tuple[Rule, ...]) -> Service:
    base = EffectivePolicy(service.priority, service.placement, service.retired)
    effective = apply_rules(base, "service", service.labels, rules)
    return replace(
        service,
        priority=effective.priority,
        placement=effective.placement,
        retired=effective.retired,
    )


def check_config(document: ConfigDocument) -> None:
    """Raise ``DocumentError`` if ``document`` is invalid.

    That is if a service or rule is invalid, or the teams' shares sum to more than 1.
    """
    for service in document.services:
        _check_service(service)
    for rule in document.rules:
        check_rule(rule)
    if sum(team.share for team in document.teams) > 1.0 + 1e-9:
        raise DocumentError(
            "teams: sum of shares is above 1", "Reduce the share of a team"
        )


def check_rule(rule: Rule) -> None:
    """Raise ``DocumentError`` if ``rule`` is invalid."""
    parse_selector(rule.selector)
    parse_selector(rule.placement or "*")
    if rule.kind not in RULE_KINDS:
        raise DocumentError(f"rule: unknown kind {rule.kind!r}", "Use service or job")
    if rule.priority is None and rule.placement is None and rule.retired is None:
        raise DocumentError(
            "rule: no field to override", "Set priority, placement or retired"
        )


def _check_service(service: Service) -> None:
    subject = f"service {service.name!r}"
    parse_selector(service.placement)
    if not service.name or "/" in service.name:
        raise DocumentError(
            f"{subject}: name is empty or contains a slash",
            "Use a name without slashes",
        )
    if service.slots_per_worker < 1 or service.connections_per_worker < 1:
        raise DocumentError(
            f"{subject}: slots_per_worker or connections_per_worker below 1",
            "Set both to at least 1",
        )
    if service.deadline_ms < 1:
        raise DocumentError(
            f"{subject}: deadline_ms below 1", "Set at least 1 millisecond"
        )
