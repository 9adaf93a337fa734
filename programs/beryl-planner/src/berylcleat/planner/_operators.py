"""What operators ask of any planner process: apply, steer, cancel, look."""

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
from ._job_board import job_key, steer_job

MAX_CANCEL_TRIES = 5


@dataclass(frozen=True, slots=True)
class ApplyRequest:
    """Ask for one new configuration version on top of ``base_version``."""

    author: str
    base_version: int
    services: tuple[Service, ...] = ()
    rules: tuple[Rule, ...] = ()
    teams: tuple[Team, ...] = ()


@dataclass(frozen=True, slots=True)
class Accepted:
    """Tell which version or job was accepted."""

    version: int = 0
    job_id: str = ""
    trace_id: str = ""


@dataclass(frozen=True, slots=True)
class Preview:
    """Name the services and jobs that a selector matches now."""

    services: tuple[str, ...] = ()
    jobs: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class JobStatus:
    """Sum up one job."""

    job_id: str
    state: str
    n_tasks: int
    n_claimed: int
    n_finished: int
    n_failed: int
    n_cancelled: int


@dataclass(frozen=True, slots=True)
class CellStatus:
    """Sum up one owned cell."""

    cell_id: str
    epoch: int
    n_workers: int
    n_workers_answering: int
    n_queued: int
    n_assigned: int


@dataclass(frozen=True, slots=True)
class HostStatus:
    """Sum up what this host sees and owns."""

    host_id: str
    data_centre: str
    config_version: int
    config_known: bool
    cells: tuple[CellStatus, ...] = ()
    jobs: tuple[JobStatus, ...] = ()
    services: tuple[Service, ...] = ()
    running_by_job: dict[str, int] = field(default_factory=dict)


class OperatorDesk:
    """Answer operators; every change is a compare-and-set in the table."""

    def __init__(self, process):
        self._process = process

    def add_routes(self, admin) -> None:
        """Hang the routes into the admin endpoint."""
        admin.add("POST", "/v1/apply", self.apply)
        admin.add("POST", "/v1/jobs", self.submit)
        admin.add("POST", "/v1/cancel/", self.cancel)
        admin.add("GET", "/v1/config", self.config)
        admin.add("GET", "/v1/preview", self.preview)
        admin.add("GET", "/v1/status", self.status)
        admin.add("GET", "/v1/explain/", self.explain)

    async def apply(self, request: HttpRequest) -> Accepted:
        """Accept a new configuration version, durable before the answer."""
        wanted = _decode(request.body, ApplyRequest)
        await self._process.feed.poll()
        current = self._process.config.current()
        if wanted.base_version != current.version:
            raise ConflictError(
                f"version {current.version} by {current.author!r} was accepted since "
                f"version {wanted.base_version}",
                "Look at it, then apply again",
            )
        document = _merged(current, wanted)
        check_config(document)
        await self._write_config(document)
        return Accepted(version=document.version)

    async def _write_config(self, document: ConfigDocument) -> None:
        row = await self._process.table.read(CONFIG_HEAD_KEY)
        value = msgspec.json.encode(document).decode()
        own_key = config_key(document.version)
        transaction = Transaction(
            secrets.token_hex(8),
            own_key,
            (Check(CONFIG_HEAD_KEY, row.version if row else 0), Check(own_key, 0)),
            (Put(CONFIG_HEAD_KEY, value), Put(own_key, value)),
        )
        result = await self._process.table.commit(transaction)
        await self._process.feed.poll()
        if not result.applied:
            winner = self._process.config.current()
            raise ConflictError(
                f"version {winner.version} by {winner.author!r} was accepted first",
                "Look at it, then apply again",
            )

    async def submit(self, request: HttpRequest) -> Accepted:
        """Accept a job; submitting the same job again changes nothing."""
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
                f"job {spec.job_id!r} exists with other content",
                "Choose another job_id",
            )

    async def cancel(self, request: HttpRequest) -> Accepted:
        """Cancel a job; doing so twice changes nothing."""
        job_id = unquote(request.target.removeprefix("/v1/cancel/"))
        key = job_key(job_id)
        for _ in range(MAX_CANCEL_TRIES):
            row = await self._process.table.read(key)
            if row is None:
                raise NotFoundError(
                    f"no job {job_id!r}", "List jobs with berylctl status"
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
        raise ConflictError(f"job {job_id!r} keeps changing", "Cancel it again")

    async def config(self, request: HttpRequest) -> ConfigDocument:
        """Return the configuration in force on this host."""
        return self._process.config.current()

    async def preview(self, request: HttpRequest) -> Preview:
        """Return what a selector matches, before it is applied."""
        query = parse_qs(urlsplit(request.target).query)
        selector = parse_selector(query.get("selector", ["*"])[0])
        document = self._process.config.current()
        return Preview(
            tuple(s.name for s in document.services if selector.matches(s.labels)),
            tuple(
                job_id
                for job_id, job in sorted(self._process.board.job_by_id.items())
                if selector.matches(job.row.spec.labels)
            ),
        )

    async def status(self, request: HttpRequest) -> HostStatus:
        """Return what this host sees and owns."""
        process = self._process
        running: dict[str, int] = {}
        for cell in process.keeper.cell_by_id.values():
            for task in cell.owned.cell.task_by_id.values():
                if task.state == "assigned":
                    running[task.job_id] = running.get(task.job_id, 0) + 1
        return HostStatus(
            process.settings.host_id,
            process.settings.data_centre,
            process.config.current().version,
            process.config.follower.is_known,
            tuple(_cell_status(cell) for cell in process.keeper.cell_by_id.values()),
            tuple(
                _job_status(process.board, job_id)
                for job_id in sorted(process.board.job_by_id)
            ),
            tuple(effective_services(process.config.current()).values()),
            running,
        )

    async def explain(self, request: HttpRequest) -> tuple[DecisionRecord, ...]:
        """Return the decision records on job/ID, task/ID, service/ID or worker/ID."""
        subject = unquote(request.target.removeprefix("/v1/explain/"))
        kind, _, name = subject.partition("/")
        if kind not in ("job", "task", "service", "worker") or not name:
            raise BadRequestError(
                f"can't explain {subject!r}",
                "Use job/ID, task/ID, service/NAME or worker/ID",
            )
        if kind == "service":
            return self._explain_service(name)
        return self._process.log.find(subject)

    def _explain_service(self, name: str) -> tuple[DecisionRecord, ...]:
        document = self._process.config.current()
        service = effective_services(document).get(name)
        if service is None:
            return ()
        base = next(s for s in document.services if s.name == name)
        matching = [
            rule.selector
            for rule in document.rules
            if rule.kind == "service"
            and parse_selector(rule.selector).matches(base.labels)
        ]
        reason = f"version {document.version}; rules that match: {matching or 'none'}"
        action = (
            f"priority {service.priority}, placement {service.placement!r}, "
            f"{'retired' if service.retired else 'in service'}"
        )
        host_id = self._process.settings.host_id
        return (DecisionRecord("", host_id, f"service/{name}", action, reason),)


def _decode(body: bytes, kind):
    try:
        return msgspec.json.decode(body, type=kind)
    except msgspec.DecodeError as problem:
        raise DocumentError(
            f"request: {problem}", "Send a document of that shape"
        ) from problem


def _merged(current: ConfigDocument, wanted: ApplyRequest) -> ConfigDocument:
    services = {service.name: service for service in current.services}
    services.update({service.name: service for service in wanted.services})
    teams = {team.name: team for team in current.teams}
    teams.update({team.name: team for team in wanted.teams})
    return ConfigDocument(
        current.version + 1,
        wanted.author,
        tuple(services.values()),
        (*current.rules, *wanted.rules),
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


def _job_status(board, job_id: str) -> JobStatus:
    row = board.job_by_id[job_id].row
    done = board.progress_of(job_id)
    n_finished = sum(item.n_finished for item in done)
    n_failed = sum(item.n_failed for item in done)
    n_cancelled = sum(item.n_cancelled for item in done)
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
