"""What each command does."""

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

from ._client import CtlSettings, HostCaller, check_ctl_settings
from ._print import show_json, show_table


@dataclass(frozen=True, slots=True)
class Document:
    """Hold what a file given to apply may contain."""

    services: tuple[Service, ...] = ()
    rules: tuple[Rule, ...] = ()
    teams: tuple[Team, ...] = ()
    jobs: tuple[JobSpec, ...] = field(default_factory=tuple)


class Actions:
    """Run commands with one settings file and one output format."""

    def __init__(self, settings_path: Path, as_json: bool):
        self._settings = load_settings(settings_path, CtlSettings)
        check_ctl_settings(self._settings)
        self._caller = HostCaller(self._settings)
        self._as_json = as_json

    def _show(self, value: Any, title: str, columns: tuple[str, ...], rows) -> None:
        if self._as_json:
            show_json(value)
        else:
            show_table(title, columns, rows)

    async def apply(self, path: Path, base_version: int | None) -> None:
        """Apply the services, rules, teams and jobs of a file."""
        text = path.read_text(encoding="utf-8")
        document = parse_document(text, Document, source=str(path))
        for job in document.jobs:
            check_job(job)
        accepted = []
        if document.services or document.rules or document.teams:
            accepted.append(await self._change(document, base_version))
        for job in document.jobs:
            accepted.append(await self._caller.ask("POST", "/v1/jobs", job))
        rows = [(a["version"] or "", a["job_id"], a["trace_id"]) for a in accepted]
        self._show(accepted, "accepted", ("version", "job", "trace"), rows)

    async def _change(self, document: Document, base_version: int | None) -> dict:
        if base_version is None:
            current = await self._caller.ask("GET", "/v1/config")
            base_version = current["version"]
        change = {
            "author": self._settings.author,
            "base_version": base_version,
            "services": document.services,
            "rules": document.rules,
            "teams": document.teams,
        }
        return await self._caller.ask("POST", "/v1/apply", change, may_repeat=False)

    async def set_rule(self, rule: Rule, base_version: int | None) -> None:
        """Add one rule: everything that it matches changes at one version."""
        check_rule(rule)
        matched = await self._matched(rule.selector)
        accepted = await self._change(Document(rules=(rule,)), base_version)
        names = matched["services"] if rule.kind == "service" else matched["jobs"]
        accepted["matches"] = names
        rows = [(accepted["version"], rule.kind, ", ".join(names))]
        self._show(accepted, "accepted", ("version", "kind", "matches"), rows)

    async def _matched(self, selector: str) -> dict:
        parse_selector(selector)
        return await self._caller.ask("GET", f"/v1/preview?selector={quote(selector)}")

    async def preview(self, selector: str) -> None:
        """Show what a selector matches now."""
        matched = await self._matched(selector)
        rows = [("service", name) for name in matched["services"]]
        rows += [("job", name) for name in matched["jobs"]]
        self._show(matched, f"matched by {selector!r}", ("kind", "name"), rows)

    async def cancel(self, job_id: str) -> None:
        """Cancel a job."""
        accepted = await self._caller.ask("POST", f"/v1/cancel/{quote(job_id)}")
        self._show(accepted, "cancelled", ("job",), [(accepted["job_id"],)])

    async def status(self) -> None:
        """Show hosts, cells, services and jobs."""
        answers = await self._caller.ask_all("/v1/status")
        if self._as_json:
            show_json(answers)
            return
        live = {address: a for address, a in answers.items() if a}
        rows = [_host_row(address, a) for address, a in answers.items()]
        columns = ("planner", "host", "data centre", "config", "cells")
        show_table("hosts", columns, rows)
        cells = [c for a in live.values() for c in a["cells"]]
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
        show_table("cells", columns, rows)
        if live:
            newest = max(live.values(), key=lambda a: a["config_version"])
            _show_services_and_jobs(newest)

    async def explain(self, subject: str) -> None:
        """Show why a job, task, service or worker is where it is."""
        answers = await self._caller.ask_all(f"/v1/explain/{quote(subject)}")
        records = [r for a in answers.values() for r in a or ()]
        records.sort(key=lambda r: r["at"])
        silent = [address for address, a in answers.items() if a is None]
        if not records:
            raise NotFoundError(
                f"no decision record on {subject!r}"
                + (f"; no answer from {', '.join(silent)}" if silent else ""),
                "Check the name with berylctl status",
            )
        rows = [(r["at"], r["host"], r["action"], r["reason"]) for r in records]
        self._show(records, subject, ("at", "host", "what", "why"), rows)

    async def trace(self, trace_id: str) -> None:
        """Show the spans of one trace, from all hosts."""
        answers = await self._caller.ask_all(f"/traces/{quote(trace_id)}", entries=True)
        spans = [span for a in answers.values() for span in a or ()]
        if not spans:
            raise NotFoundError(
                f"no span of trace {trace_id}", "Spans are kept for a while only"
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
        self._show(spans, f"trace {trace_id}", columns, rows)


def _host_row(address: str, answer: dict | None) -> tuple:
    if answer is None:
        return (address, "no answer", "", "", "")
    known = "" if answer["config_known"] else " (unknown)"
    return (
        address,
        answer["host_id"],
        answer["data_centre"],
        f"{answer['config_version']}{known}",
        len(answer["cells"]),
    )


def _show_services_and_jobs(answer: dict) -> None:
    rows = [
        (
            s["name"],
            s["priority"],
            s["placement"],
            "retired" if s["retired"] else "in service",
        )
        for s in answer["services"]
    ]
    show_table("services", ("service", "priority", "placement", "state"), rows)
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
    show_table("jobs", columns, rows)
