"""Implementation of the commands."""

from dataclasses import dataclass, field
from pathlib import Path
from typing import Any
from urllib.parse import quote

from berylcleat.model import (
    JobSpec,
    NotFoundError,
    Rule,
    Service,
    Team,
    check_job,
    check_rule,
    load_settings,
    parse_document,
    parse_selector,
)

from ._client import AdminClient, CtlSettings, check_ctl_settings
from ._output import print_json, print_table


@dataclass(frozen=True, slots=True)
class Document:
    """Content of a file given to ``apply``."""

    services: tuple[Service, ...] = ()
    rules: tuple[Rule, ...] = ()
    teams: tuple[Team, ...] = ()
    jobs: tuple[JobSpec, ...] = field(default_factory=tuple)


class Actions:
    """Commands bound to one settings file and one output format."""

    def __init__(self, settings_path: Path, as_json: bool):
        self._settings = load_settings(settings_path, CtlSettings)
        check_ctl_settings(self._settings)
        self._client = AdminClient(self._settings)
        self._as_json = as_json

    def _print(self, value: Any, title: str, columns: tuple[str, ...], rows) -> None:
        if self._as_json:
            print_json(value)
        else:
            print_table(title, columns, rows)

    async def apply(self, path: Path, base_version: int | None) -> None:
        """Apply the services, rules and teams of a file, then submit its jobs."""
        text = path.read_text(encoding="utf-8")
        document = parse_document(text, Document, source=str(path))
        for job in document.jobs:
            check_job(job)
        accepted = []
        if document.services or document.rules or document.teams:
            accepted.append(await self._post_change(document, base_version))
        for job in document.jobs:
            accepted.append(await self._client.request_any("POST", "/v1/jobs", job))
        rows = [(a["version"] or "", a["job_id"], a["trace_id"]) for a in accepted]
        self._print(accepted, "accepted", ("version", "job", "trace"), rows)

    async def _post_change(self, document: Document, base_version: int | None) -> dict:
        if base_version is None:
            current = await self._client.request_any("GET", "/v1/config")
            base_version = current["version"]
        change = {
            "author": self._settings.author,
            "base_version": base_version,
            "services": document.services,
            "rules": document.rules,
            "teams": document.teams,
        }
        return await self._client.request_any(
            "POST", "/v1/apply", change, is_idempotent=False
        )

    async def set_rule(self, rule: Rule, base_version: int | None) -> None:
        """Add a rule; all that it matches changes in one configuration version."""
        check_rule(rule)
        matches = await self._fetch_matches(rule.selector)
        accepted = await self._post_change(Document(rules=(rule,)), base_version)
        names = matches["services"] if rule.kind == "service" else matches["jobs"]
        accepted["matches"] = names
        rows = [(accepted["version"], rule.kind, ", ".join(names))]
        self._print(accepted, "accepted", ("version", "kind", "matches"), rows)

    async def _fetch_matches(self, selector: str) -> dict:
        parse_selector(selector)
        return await self._client.request_any(
            "GET", f"/v1/preview?selector={quote(selector)}"
        )

    async def preview(self, selector: str) -> None:
        """Print the services and jobs that a selector currently matches."""
        matches = await self._fetch_matches(selector)
        rows = [("service", name) for name in matches["services"]]
        rows += [("job", name) for name in matches["jobs"]]
        self._print(matches, f"matched by {selector!r}", ("kind", "name"), rows)

    async def cancel(self, job_id: str) -> None:
        """Cancel a job."""
        accepted = await self._client.request_any("POST", f"/v1/cancel/{quote(job_id)}")
        self._print(accepted, "cancelled", ("job",), [(accepted["job_id"],)])

    async def status(self) -> None:
        """Print the state of hosts, cells, services and jobs."""
        answer_by_address = await self._client.request_all("/v1/status")
        if self._as_json:
            print_json(answer_by_address)
            return
        answered_by_address = {
            address: a for address, a in answer_by_address.items() if a
        }
        rows = [_make_host_row(address, a) for address, a in answer_by_address.items()]
        columns = ("planner", "host", "data centre", "config", "cells")
        print_table("hosts", columns, rows)
        cells = [c for a in answered_by_address.values() for c in a["cells"]]
        columns = ("cell", "epoch", "workers answering", "queued", "assigned")
        rows = [
            (
                c["cell_id"],
                c["epoch"],
                f"{c['n_workers_answering']}/{c['n_workers']}",
                c["n_queued"],
                c["n_assigned"],
            )
            for c in sorted(cells, key=lambda c: c["cell_id"])
        ]
        print_table("cells", columns, rows)
        if answered_by_address:
            newest = max(
                answered_by_address.values(), key=lambda a: a["config_version"]
            )
            _print_services_and_jobs(newest)

    async def explain(self, subject: str) -> None:
        """Print the decision records on a job, task, service or worker, by time."""
        answer_by_address = await self._client.request_all(
            f"/v1/explain/{quote(subject)}"
        )
        records = [r for a in answer_by_address.values() for r in a or ()]
        records.sort(key=lambda r: r["at"])
        unreachable = [address for address, a in answer_by_address.items() if a is None]
        if not records:
            raise NotFoundError(
                f"no decision records found for {subject!r}"
                + (
                    f"; no response from {', '.join(unreachable)}"
                    if unreachable
                    else ""
                ),
                "Check the name in the output of berylctl status",
            )
        rows = [(r["at"], r["host"], r["action"], r["reason"]) for r in records]
        self._print(records, subject, ("at", "host", "what", "why"), rows)

    async def trace(self, trace_id: str) -> None:
        """Print the spans of one trace, collected from all hosts."""
        answer_by_address = await self._client.request_all(
            f"/traces/{quote(trace_id)}", with_entries=True
        )
        spans = [span for a in answer_by_address.values() for span in a or ()]
        if not spans:
            raise NotFoundError(
                f"no spans found for trace {trace_id}",
                "Retry with a newer trace: hosts keep spans for a limited time only",
            )
        spans.sort(key=lambda span: span["start_ns"])
        first_ns = spans[0]["start_ns"]
        rows = [
            (
                f"+{(s['start_ns'] - first_ns) / 1e6:.1f}",
                f"{(s['end_ns'] - s['start_ns']) / 1e6:.1f}",
                s["process"],
                s["name"],
                ", ".join(f"{k}={v}" for k, v in s["attributes"].items()),
            )
            for s in spans
        ]
        columns = ("at ms", "took ms", "process", "span", "attributes")
        self._print(spans, f"trace {trace_id}", columns, rows)


def _make_host_row(address: str, answer: dict | None) -> tuple:
    if answer is None:
        return (address, "no response", "", "", "")
    known = "" if answer["config_known"] else " (unknown)"
    return (
        address,
        answer["host_id"],
        answer["data_centre"],
        f"{answer['config_version']}{known}",
        len(answer["cells"]),
    )


def _print_services_and_jobs(answer: dict) -> None:
    rows = [
        (
            s["name"],
            s["priority"],
            s["placement"],
            "retired" if s["retired"] else "in service",
        )
        for s in answer["services"]
    ]
    print_table("services", ("service", "priority", "placement", "state"), rows)
    rows = [
        (
            j["job_id"],
            j["state"],
            j["n_tasks"],
            j["n_claimed"],
            j["n_finished"],
            j["n_failed"],
        )
        for j in answer["jobs"]
    ]
    columns = ("job", "state", "tasks", "claimed", "finished", "failed")
    print_table("jobs", columns, rows)
