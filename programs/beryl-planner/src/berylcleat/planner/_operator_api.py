"""HTTP API for operators, served by every planner process."""

import secrets
from dataclasses import dataclass, field, replace
from urllib.parse import parse_qs, unquote, urlsplit

import msgspec

from berylcleat.http import HttpRequest
from berylcleat.model import (
    BadRequestError,
    ConfigDocument,
    ConflictError,
    DocumentError,
    JobSpec,
    NotFoundError,
    Rule,
    Service,
    Team,
    check_config,
    check_job,
    check_runnable,
    effective_services,
    parse_selector,
)
from berylcleat.ownership import JobRow
from berylcleat.peers import CONFIG_HEAD_KEY, config_key
from berylcleat.ports import Check, Put, Transaction
from berylcleat.telemetry import TRACE_HEADER, parse_trace_id

from ._decision_log import DecisionRecord
from ._job_cache import job_key, steer_job

MAX_CANCEL_ATTEMPTS = 5


@dataclass(frozen=True, slots=True)
class ApplyRequest:
    """Request for a new configuration version based on ``base_version``."""

    author: str
    base_version: int
    services: tuple[Service, ...] = ()
    rules: tuple[Rule, ...] = ()
    teams: tuple[Team, ...] = ()


@dataclass(frozen=True, slots=True)
class Accepted:
    """Response to an accepted request: the version, or the job and its trace."""

    version: int = 0
    job_id: str = ""
    trace_id: str = ""


@dataclass(frozen=True, slots=True)
class Preview:
    """Services and jobs that a selector currently matches."""

    services: tuple[str, ...] = ()
    jobs: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class JobStatus:
    """State and task counts of one job."""

    job_id: str
    state: str
    n_tasks: int
    n_claimed: int
    n_finished: int
    n_failed: int
    n_cancelled: int


@dataclass(frozen=True, slots=True)
class CellStatus:
    """Epoch, worker counts and task counts of one owned cell."""

    cell_id: str
    epoch: int
    n_workers: int
    n_workers_answering: int
    n_queued: int
    n_assigned: int


@dataclass(frozen=True, slots=True)
class HostStatus:
    """Configuration, cells, jobs and services as known to this host."""

    host_id: str
    data_centre: str
    config_version: int
    config_known: bool
    cells: tuple[CellStatus, ...] = ()
    jobs: tuple[JobStatus, ...] = ()
    services: tuple[Service, ...] = ()
    running_by_job: dict[str, int] = field(default_factory=dict)


class OperatorApi:
    """Handlers of operators' requests; every change is a compare-and-set."""

    def __init__(self, process):
        self._process = process

    def add_routes(self, admin) -> None:
        """Add the handlers to the admin endpoint."""
        admin.add("POST", "/v1/apply", self.apply)
        admin.add("POST", "/v1/jobs", self.submit)
        admin.add("POST", "/v1/cancel/", self.cancel)
        admin.add("GET", "/v1/config", self.config)
        admin.add("GET", "/v1/preview", self.preview)
        admin.add("GET", "/v1/status", self.status)
        admin.add("GET", "/v1/explain/", self.explain)

    async def apply(self, request: HttpRequest) -> Accepted:
        """Commit a new configuration version before answering."""
        requested = _decode(request.body, ApplyRequest)
        await self._process.feed.poll()
        current = self._process.config.current()
        if requested.base_version != current.version:
            raise ConflictError(
                f"version {current.version} by {current.author!r} was accepted after "
                f"base version {requested.base_version}",
                "Review the current version, then apply again",
            )
        document = _merge_config(current, requested)
        check_config(document)
        await self._write_config(document)
        return Accepted(version=document.version)

    async def _write_config(self, document: ConfigDocument) -> None:
        row = await self._process.table.read(CONFIG_HEAD_KEY)
        value = msgspec.json.encode(document).decode()
        version_key = config_key(document.version)
        transaction = Transaction(
            secrets.token_hex(8),
            version_key,
            (Check(CONFIG_HEAD_KEY, row.version if row else 0), Check(version_key, 0)),
            (Put(CONFIG_HEAD_KEY, value), Put(version_key, value)),
        )
        result = await self._process.table.commit(transaction)
        await self._process.feed.poll()
        if not result.applied:
            accepted = self._process.config.current()
            raise ConflictError(
                f"version {accepted.version} by {accepted.author!r} was accepted first",
                "Review the current version, then apply again",
            )

    async def submit(self, request: HttpRequest) -> Accepted:
        """Accept a job; submitting the same job again has no effect."""
        spec = _decode(request.body, JobSpec)
        check_job(spec)
        workers = tuple(w.spec for w in self._process.list_source.worker_by_id.values())
        if workers:
            steering = steer_job(spec, self._process.config.current())
            check_runnable(replace(spec, placement=steering.placement), workers)
        parent = request.header(TRACE_HEADER)
        with self._process.tracer.span(
            "planner.submit", parent=parent, job=spec.job_id
        ) as span:
            trace = self._process.tracer.format_traceparent(span)
            await self._write_job(spec, trace)
        return Accepted(job_id=spec.job_id, trace_id=parse_trace_id(trace))

    async def _write_job(self, spec: JobSpec, trace: str) -> None:
        key = job_key(spec.job_id)
        value = msgspec.json.encode(JobRow(spec, trace=trace)).decode()
        transaction = Transaction(
            secrets.token_hex(8), key, (Check(key, 0),), (Put(key, value),)
        )
        result = await self._process.table.commit(transaction)
        if result.applied:
            return
        row = await self._process.table.read(key)
        if row and msgspec.json.decode(row.value, type=JobRow).spec != spec:
            raise ConflictError(
                f"job {spec.job_id!r} already exists with a different specification",
                "Choose another job_id",
            )

    async def cancel(self, request: HttpRequest) -> Accepted:
        """Cancel a job; cancelling it again has no effect."""
        job_id = unquote(request.target.removeprefix("/v1/cancel/"))
        key = job_key(job_id)
        for _ in range(MAX_CANCEL_ATTEMPTS):
            row = await self._process.table.read(key)
            if row is None:
                raise NotFoundError(
                    f"there is no job {job_id!r}", "List jobs with berylctl status"
                )
            job = msgspec.json.decode(row.value, type=JobRow)
            if job.state == "cancelled":
                return Accepted(job_id=job_id)
            value = msgspec.json.encode(msgspec.structs.replace(job, state="cancelled"))
            transaction = Transaction(
                secrets.token_hex(8),
                key,
                (Check(key, row.version),),
                (Put(key, value.decode()),),
            )
            if (await self._process.table.commit(transaction)).applied:
                return Accepted(job_id=job_id)
        raise ConflictError(
            f"job {job_id!r} was not cancelled: its row changed during every attempt",
            "Cancel it again",
        )

    async def config(self, request: HttpRequest) -> ConfigDocument:
        """Return the configuration in force on this host."""
        return self._process.config.current()

    async def preview(self, request: HttpRequest) -> Preview:
        """Return the services and jobs that a selector matches, without applying it."""
        query = parse_qs(urlsplit(request.target).query)
        selector = parse_selector(query.get("selector", ["*"])[0])
        document = self._process.config.current()
        return Preview(
            tuple(s.name for s in document.services if selector.matches(s.labels)),
            tuple(
                job_id
                for job_id, job in sorted(self._process.job_cache.job_by_id.items())
                if selector.matches(job.row.spec.labels)
            ),
        )

    async def status(self, request: HttpRequest) -> HostStatus:
        """Return configuration, cells, jobs and services as known to this host."""
        process = self._process
        running: dict[str, int] = {}
        for cell in process.ownership.cell_by_id.values():
            for task in cell.owned.cell.task_by_id.values():
                if task.state == "assigned":
                    running[task.job_id] = running.get(task.job_id, 0) + 1
        return HostStatus(
            process.settings.host_id,
            process.settings.data_centre,
            process.config.current().version,
            process.config.follower.is_known,
            tuple(_cell_status(cell) for cell in process.ownership.cell_by_id.values()),
            tuple(
                _job_status(process.job_cache, job_id)
                for job_id in sorted(process.job_cache.job_by_id)
            ),
            tuple(effective_services(process.config.current()).values()),
            running,
        )

    async def explain(self, request: HttpRequest) -> tuple[DecisionRecord, ...]:
        """Return the decision records of job/ID, task/ID, service/NAME or worker/ID."""
        subject = unquote(request.target.removeprefix("/v1/explain/"))
        subject_kind, _, name = subject.partition("/")
        if subject_kind not in ("job", "task", "service", "worker") or not name:
            raise BadRequestError(
                f"invalid subject {subject!r}",
                "Use job/ID, task/ID, service/NAME or worker/ID",
            )
        if subject_kind == "service":
            return self._explain_service(name)
        return self._process.log.find(subject)

    def _explain_service(self, name: str) -> tuple[DecisionRecord, ...]:
        document = self._process.config.current()
        service = effective_services(document).get(name)
        if service is None:
            return ()
        unsteered = next(s for s in document.services if s.name == name)
        matching = [
            rule.selector
            for rule in document.rules
            if rule.kind == "service"
            and parse_selector(rule.selector).matches(unsteered.labels)
        ]
        reason = f"version {document.version}; matching rules: {matching or 'none'}"
        action = (
            f"priority {service.priority}, placement {service.placement!r}, "
            f"{'retired' if service.retired else 'in service'}"
        )
        host_id = self._process.settings.host_id
        return (DecisionRecord("", host_id, f"service/{name}", action, reason),)


def _decode(body: bytes, request_type):
    try:
        return msgspec.json.decode(body, type=request_type)
    except msgspec.DecodeError as error:
        raise DocumentError(
            f"request body is invalid: {error}", "Send a document of the expected type"
        ) from error


def _merge_config(current: ConfigDocument, requested: ApplyRequest) -> ConfigDocument:
    services = {service.name: service for service in current.services}
    services.update({service.name: service for service in requested.services})
    teams = {team.name: team for team in current.teams}
    teams.update({team.name: team for team in requested.teams})
    return ConfigDocument(
        current.version + 1,
        requested.author,
        tuple(services.values()),
        (*current.rules, *requested.rules),
        tuple(teams.values()),
    )


def _cell_status(cell) -> CellStatus:
    states = [task.state for task in cell.owned.cell.task_by_id.values()]
    return CellStatus(
        cell.row.cell_id,
        cell.row.epoch,
        len(cell.owned.worker_by_id),
        sum(view.reply is not None for view in cell.owned.worker_by_id.values()),
        states.count("queued"),
        states.count("assigned"),
    )


def _job_status(job_cache, job_id: str) -> JobStatus:
    row = job_cache.job_by_id[job_id].row
    settled_claims = job_cache.settled_claims_of(job_id)
    n_finished = sum(claim.n_finished for claim in settled_claims)
    n_failed = sum(claim.n_failed for claim in settled_claims)
    n_cancelled = sum(claim.n_cancelled for claim in settled_claims)
    state = row.state
    if state == "open" and n_finished + n_failed == row.spec.n_tasks:
        state = "failed" if n_failed else "finished"
    return JobStatus(
        job_id,
        state,
        row.spec.n_tasks,
        row.n_claimed,
        n_finished,
        n_failed,
        n_cancelled,
    )
