import asyncio
import json
import time
from contextlib import suppress
from types import SimpleNamespace
from unittest.mock import patch

from behave import given, then, when

from berylcleat.host._maintained_cells import MaintainedCells
from berylcleat.host._maintenance_calls import MaintenanceCalls
from berylcleat.host._maintenance_waves import MaintenanceWaves
from berylcleat.host._operator_state import OperatorState
from berylcleat.model import PlatformUnavailableError, TaskDemand
from berylcleat.ports import CommitOutcome, StoreRow, WorkerEntry
from berylcleat.scheduling import (
    CellScheduler,
    InterferenceModel,
    LeaseTimes,
    MachineList,
    MachinePhase,
    MachineRecord,
    ReportState,
    RequestMaintenance,
    WaveRecord,
    WaveState,
    encode_wave_record,
)
from berylcleat.standins import MemoryStore


class UnreachableStore:
    async def commit(self, commit):
        raise PlatformUnavailableError("store: no answer", "Try again")


def wave_row(version=1, **fields):
    body = {"wave": 1, "machines": ["m-0", "m-1"], "completeByS": 60, "maxCount": 1}
    return StoreRow("op", "", "wave/1", json.dumps(body | fields).encode(), version)


@given("a cell that begins while a wave is known, and its record is {record}")
def step_cell(context, record):
    context.state = state = OperatorState()
    state.on_waves(() if record == "withdrawn" else (wave_row(),))
    entry = MachineRecord(MachinePhase.REQUESTED, 1, "r1", "w0", 0)
    value = encode_wave_record(WaveRecord(1, 1, WaveState.RUNNING, {"m-0": entry}))
    store = UnreachableStore() if record == "not read" else MemoryStore()
    if record in ("present", "unreadable"):
        value = value if record == "present" else b"[not json"
        store.put("maintenance", "", "wave-1", value)
    cell = CellScheduler("r1", 2, LeaseTimes(), 0.0, 0.0, (), InterferenceModel())
    cell.awaits_cordon = True
    for worker_id in ("w0", "w1"):
        place = ("svc", "a:1", "dc", "k", "r1", frozenset(), TaskDemand(8000), 1)
        cell.list_worker(WorkerEntry(worker_id, *place), 0.0)
    controller = SimpleNamespace(
        cell_id="r1",
        owner=SimpleNamespace(epoch=2),
        owner_version=1,
        scheduler=cell,
        is_inactive=False,
    )
    cells = MaintainedCells({"r1": controller})
    context.cell = cell
    context.controller = controller
    context.waves = MaintenanceWaves(store, None, "host-1", state, cells)


@given("calls for maintenance that fail with an unexpected exception")
def step_failing_service(context):
    step_cell(context, "absent")
    context.n_calls = 0

    async def request_maintenance(*arguments):
        context.n_calls += 1
        raise ValueError("unexpected")

    async def commit(commit):
        return CommitOutcome(True, 1)

    context.calls = MaintenanceCalls(
        SimpleNamespace(commit=commit),
        SimpleNamespace(request_maintenance=request_maintenance),
        "host-1",
        MachineList(),
    )


@when("the same call is requested 5 times within 0.1 s")
def step_requests(context):
    async def run():
        for _ in range(5):
            context.calls.request(1, "m-0", "w0", context.controller)
            await asyncio.sleep(0.02)

    context.run(run())


@then("the machine service was called once")
def step_called_once(context):
    assert context.n_calls == 1, context.n_calls


@when(
    'a commit requests the maintenance of "{again}" again and of "{first}" for the '
    "first time"
)
def step_requested_again(context, again, first):
    entries = {
        again: MachineRecord(MachinePhase.REQUESTED, 1, "r1", "w0", 0),
        first: MachineRecord(MachinePhase.EMPTYING, 2, "r1", "w1", 0),
    }
    record = WaveRecord(1, 1, WaveState.RUNNING, entries)
    actions = (RequestMaintenance(again, "w0"), RequestMaintenance(first, "w1"))
    with patch("berylcleat.host._maintenance_waves.logger") as logger:
        context.waves._log(1, actions, context.controller, record)
    context.logged = [call.args[-1] for call in logger.info.call_args_list]


@then('only the maintenance of "{machine}" is logged as requested')
def step_logged(context, machine):
    (line,) = context.logged
    assert line.startswith(f"maintenance of machine {machine} is requested"), line


@when("the host takes a step")
def step_step(context):
    async def run():
        with suppress(PlatformUnavailableError):
            await context.waves.step()

    context.run(run())


@then(
    'the cell waits for its cordons: {waits}, and the cordoned workers are "{workers}"'
)
@then('the cell waits for its cordons: {waits}, and the cordoned workers are ""')
def step_waits(context, waits, workers=""):
    assert context.cell.awaits_cordon == (waits == "yes")
    cordoned = {
        worker_id
        for worker_id in context.cell.worker_by_id
        if context.cell.occupancy(worker_id).is_cordoned
    }
    assert cordoned == set(workers.split()), cordoned


@given("the row of a wave that the host has read")
def step_read_row(context):
    context.state = OperatorState()
    context.state.on_waves((wave_row(),))
    context.learned_at_ms = [context.state.wave_by_id[1].learned_at_ms]
    assert abs(context.learned_at_ms[0] - time.time() * 1000) < 1000


@when("it is read again 0.05 s later with {change}")
def step_read_again(context, change):
    time.sleep(0.05)
    context.state.on_waves((wave_row(2 if change == "a newer row" else 1),))
    context.learned_at_ms.append(context.state.wave_by_id[1].learned_at_ms)


@then("the time at which the host learned of it is the {which}")
def step_learned_at(context, which):
    first, second = context.learned_at_ms
    assert (second > first) == (which == "second"), context.learned_at_ms


@given("{n_hosts:d} hosts, and a list of {n_pages:d} pages")
def step_hosts(context, n_hosts, n_pages):
    context.waves._count_hosts = lambda: n_hosts
    context.waves._service = SimpleNamespace(n_pages=n_pages)


@then("it reads the list each {seconds:f} s")
def step_period(context, seconds):
    assert context.waves._list_period_s() == seconds, context.waves._list_period_s()


@when("the record, of {size:d} kB, would change in each of 20 steps within 1 s")
def step_change_often(context, size):
    waves = context.waves
    context.n_commits = 0
    wave = context.state.wave_by_id[1]
    waves._records.by_wave[1] = WaveRecord()

    async def commit(wave_id, record, writes):
        context.n_commits += 1
        return True

    def plan(*arguments):
        return (ReportState(WaveState.RUNNING, 1, context.n_commits + 1),)

    async def run():
        for _ in range(20):
            await waves._advance(1, wave, context.controller)
            await asyncio.sleep(0.02)

    waves._records.commit = commit
    waves._records.n_bytes = lambda wave_id: size * 1000
    with patch("berylcleat.host._maintenance_waves.plan_maintenance", plan):
        context.run(run())


@then("it is committed {n:d} times")
def step_n_commits(context, n):
    assert context.n_commits == n, context.n_commits
