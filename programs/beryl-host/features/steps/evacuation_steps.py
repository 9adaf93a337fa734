import asyncio
import json
import logging
from types import SimpleNamespace

from behave import given, then, when
from host_parts import make_controller, make_known_cells, make_worker_entry
from prometheus_client import REGISTRY

from berylcleat.host._cell_chooser import CellChooser
from berylcleat.host._client_api import ClientApi
from berylcleat.host._clock import now_s
from berylcleat.host._evacuation_metrics import EvacuationMetrics
from berylcleat.host._operator_state import NO_EVACUATIONS, OperatorState
from berylcleat.host._order_sender import OrderSender
from berylcleat.host._peers import PeerClient
from berylcleat.host._records import (
    CELL_TABLE,
    OWNER_KEY,
    SUBMISSION_TABLE,
    CellSummary,
    OwnerRow,
    encode,
)
from berylcleat.host._submission_directory import SubmissionDirectory
from berylcleat.host._submission_store import SubmissionStore
from berylcleat.host._task_mover import TaskMover
from berylcleat.http import HttpRequest
from berylcleat.model import QueuePolicy, Step, Submission, TaskDemand, TaskKey
from berylcleat.platform import decode_config
from berylcleat.ports import (
    OrderAnswer,
    OrderResult,
    StartOrder,
    StoreRow,
    WorkerReport,
)
from berylcleat.scheduling import (
    EvacuationRules,
    FillerHeadroom,
    InterferenceModel,
    WorkerOrder,
)
from berylcleat.standins import (
    HOST_NAME,
    MemoryStore,
    make_operator_config,
    make_submission_body,
)

RULES = EvacuationRules(5.0, 6.0)
SERVICE = "svc"
SUBMISSION_ID = "0123456789abcdef"
DEMAND = TaskDemand(1000, 100)


class Cells:
    """Published loads of the cells; this host owns none."""

    def __init__(self, summary_by_cell):
        self.summary_by_cell = summary_by_cell
        self.controller_by_cell = {}

    def summaries(self):
        return dict(self.summary_by_cell)

    def owner_address(self, cell_id):
        return None

    def epoch_of(self, cell_id):
        return 5

    def load_age_s(self, cell_id, now):
        return 0.0


class NoCells(Cells):
    def __init__(self):
        super().__init__({})


def make_cell_load(data_centre, cpu_free):
    return CellSummary(
        service=SERVICE,
        data_centre=data_centre,
        cpu_capacity=8000,
        cpu_free=cpu_free,
        cpu_waiting=0,
        filler_rooms=(FillerHeadroom((), cpu_free),),
        fill_waiting=0,
        pending_by_queue={},
        free_by_worker=(cpu_free,),
    )


@given('the cells "r1 r2" in "dc-1" and "r3" in "dc-2", "r1" the emptiest')
def step_cells(context):
    context.operator = OperatorState(RULES)
    context.cells = Cells(
        {
            "r1": make_cell_load("dc-1", 8000),
            "r2": make_cell_load("dc-1", 7000),
            "r3": make_cell_load("dc-2", 2000),
        }
    )
    context.chooser = CellChooser(
        "dc-1", context.cells, NoCells(), InterferenceModel(), context.operator
    )


def set_evacuated(context, names):
    version = context.operator.version + 1
    context.operator.on_requests(frozenset(names), version, now_s())


@when('"{names}" is evacuated')
def step_evacuate(context, names):
    set_evacuated(context, names.split())


@when("nothing is evacuated")
def step_withdraw(context):
    set_evacuated(context, ())


@when("a {kind} submission arrives")
def step_submission(context, kind):
    step = {
        "batch": Step(2, DEMAND),
        "filler": Step(2, DEMAND, fills=True),
        "serving": Step(2, DEMAND, target_latency_ms=20),
        'batch with its data in "r1"': Step(2, DEMAND, data_rack="r1"),
    }[kind]
    queue = QueuePolicy("proofs", SERVICE)
    decision = context.chooser.decide(Submission("a" * 16, queue, "s", (step,)))
    context.home = decision.cell_id if decision else None


@then('its home cell is "{cell_id}"')
def step_home(context, cell_id):
    assert context.home == cell_id, context.home


@then('the mover of "{cell_id}" is offered the cells "{names}"')
def step_offered(context, cell_id, names):
    mover = TaskMover(None, None, context.cells, None, NoCells(), context.operator)
    headrooms = mover.headrooms(cell_id, "dc-1")
    offered = [headroom.cell_id for headroom in headrooms]
    assert offered == names.split(), offered
    assert all(headroom.epoch == 5 for headroom in headrooms), headrooms


def submit(context):
    """Return the response to a client's submission and the stored rows."""
    store = MemoryStore()
    api = ClientApi(
        store,
        SubmissionStore(store),
        SubmissionDirectory(),
        context.cells,
        NoCells(),
        context.chooser,
        PeerClient(),
    )
    config = json.dumps(make_operator_config()).encode()
    api.config = decode_config(StoreRow("op", "", "config", config, 1))
    body = json.dumps(make_submission_body()).encode()
    target = f"/proofs/{SUBMISSION_ID}"
    request = HttpRequest("POST", target, (("host", HOST_NAME),), body)
    response = context.run(api.handle(request))
    return response, context.run(store.list_parts(SUBMISSION_TABLE))


@then("a client's submission is answered 503 with Retry-After and nothing is stored")
def step_refused(context):
    response, parts = submit(context)
    assert response.status == 503, response
    assert int(response.header("retry-after")) >= 1
    assert not parts, parts


@then("a client's submission is answered 200 and stored")
def step_accepted(context):
    response, parts = submit(context)
    assert response.status == 200 and parts, response


# Log lines and metrics


class LogRecorder(logging.Handler):
    """Handler that keeps the messages of the evacuation metrics."""

    def __init__(self):
        super().__init__()
        self.messages = []
        self.logger = logging.getLogger("berylcleat.host._evacuation_metrics")
        self.logger.addHandler(self)
        self.logger.setLevel(logging.INFO)

    def emit(self, record):
        self.messages.append(record.getMessage())

    def close(self):
        self.logger.removeHandler(self)
        super().close()


@then('after {seconds:d} s a warning names "{name}"')
def step_unknown_warning(context, seconds, name):
    recorder = LogRecorder()
    metrics = EvacuationMetrics(context.operator, make_known_cells(), {})
    for now in (0.0, seconds - 0.5, seconds + 0.5, seconds + 1.0):
        metrics.observe(now)
        assert len(recorder.messages) == (now > seconds), (now, recorder.messages)
    recorder.close()
    assert f"data centre {name} " in recorder.messages[0], recorder.messages


@given('a cell of "{name}" that its host owns, with runs unaccounted for')
def step_owned_cell(context, name):
    context.operator = OperatorState(RULES)
    context.scheduler = SimpleNamespace(
        n_runs=lambda: context.n_runs, has_settled=lambda now: context.has_settled
    )
    context.has_settled = False
    controller = SimpleNamespace(data_centre=name, scheduler=context.scheduler)
    context.name = name
    context.metrics = EvacuationMetrics(
        context.operator, make_known_cells(), {"r1": controller}
    )


def read_gauge(name, data_centre):
    return REGISTRY.get_sample_value(name, {"data_centre": data_centre})


@when("the cell has {n:d} tasks running, then 0, then all is accounted for")
def step_runs_end(context, n):
    recorder = LogRecorder()
    context.seen = []
    for n_runs, has_settled in ((n, False), (0, False), (0, True), (0, True)):
        context.n_runs, context.has_settled = n_runs, has_settled
        context.metrics.observe(1.0)
        running = read_gauge("beryl_evacuation_running_tasks", context.name)
        lines = [line for line in recorder.messages if "last run in cell r1" in line]
        context.seen.append((running, len(lines)))
    recorder.close()


@then("the metrics show the evacuated data centre and {n:d}, then 0 running tasks")
def step_running(context, n):
    assert read_gauge("beryl_evacuated_data_centre", context.name) == 1
    assert [running for running, _ in context.seen] == [n, 0, 0, 0], context.seen


@then("the line about the last run in the cell is logged once, at the end")
def step_logged_once(context):
    assert [n_lines for _, n_lines in context.seen] == [0, 0, 1, 1], context.seen


@then("the metrics show no evacuated data centre")
def step_no_metrics(context):
    context.metrics.observe(2.0)
    assert read_gauge("beryl_evacuated_data_centre", context.name) is None
    assert read_gauge("beryl_evacuation_running_tasks", context.name) is None


# Cells and their orders


@given("a deployment without evacuations")
def step_no_evacuations(context):
    context.operator = OperatorState(NO_EVACUATIONS)


@given('a cell of "{data_centre}" with a worker of 8000 millicores')
def step_cell(context, data_centre):
    context.data_centre = data_centre
    if "operator" not in context:
        context.operator = OperatorState(RULES)


async def start_cell(context, *, has_read):
    """Start a controller; its loops run only when the caller waits."""
    store = MemoryStore()
    owner = OwnerRow(2, "host-1", "aa")
    store.put(CELL_TABLE, "r1", OWNER_KEY, encode(owner))
    if has_read:
        set_evacuated(context, ())
    context.controller = make_controller(
        store,
        owner,
        now_s(),
        data_centre=context.data_centre,
        operator=context.operator,
    )
    await context.controller.start({"w1": make_worker_entry("w1")})
    scheduler = context.controller.scheduler
    report = WorkerReport(1000, 1, (), ())
    scheduler.on_report("w1", report, now_s(), now_s())
    return scheduler


@when('"{name}" is evacuated just after the cell\'s owner has started it')
def step_evacuated_after_start(context, name):
    context.seen = []

    async def run():
        scheduler = await start_cell(context, has_read=True)
        assert not scheduler.evacuation.is_evacuated
        plan = scheduler.plan

        def record_plan(now, wall_ms):
            context.seen.append(scheduler.evacuation.is_evacuated)
            return plan(now, wall_ms)

        scheduler.plan = record_plan
        set_evacuated(context, (name,))
        context.load = context.controller.summary()
        scheduler.evacuation = context.operator.make_cell_evacuation(name)
        await asyncio.sleep(0.05)
        await context.controller.abandon()

    context.run(run())


@then("the cell's first planning round knows that it is evacuated")
def step_first_round(context):
    assert context.seen and context.seen[0], context.seen


@when("the cell's owner starts it before the host has read the requests")
def step_start_unread(context):
    async def run():
        scheduler = await start_cell(context, has_read=False)
        context.load = context.controller.summary()
        await asyncio.sleep(0.05)
        context.evacuation = scheduler.evacuation
        await context.controller.abandon()

    context.run(run())


@then("the cell may start nothing")
def step_may_not_start(context):
    assert not context.evacuation.may_start(now_s())


@then("the cell has no evacuation state")
def step_no_state(context):
    assert context.evacuation is None


@then("the cell's load shows {free:d} of {capacity:d} millicores free")
def step_load(context, free, capacity):
    load = context.load
    assert (load.cpu_free, load.cpu_capacity) == (free, capacity), load
    assert load.free_by_worker == (free,), load
    assert sum(room.cpu_left for room in load.filler_rooms) <= free, load


@then("the cell's load shows less than {capacity:d} millicores free at once")
def step_ramp(context, capacity):
    load = context.controller.summary()
    assert load.cpu_free < capacity, load


class RecordingScheduler:
    """Scheduler that allows no start, and records the answers that it gets."""

    def __init__(self):
        self.answers = []

    def may_send_start(self, order, now):
        return False

    def report_age_s(self, worker_id, now):
        return 0.0

    def on_start_answer(self, worker_id, order, answer, now):
        self.answers.append((worker_id, order, answer.result))


class RecordingWorker:
    """Worker client that asks before it sends a start, as the real one does."""

    def __init__(self):
        self.received = []

    async def start(self, order, may_send):
        if not may_send():
            return OrderAnswer(OrderResult.NOT_SENT)
        self.received.append(order)
        return OrderAnswer(OrderResult.ACCEPTED)


@given('a start order that was decided before "dc-1" was evacuated')
def step_decided(context):
    context.order = StartOrder(TaskKey(SUBMISSION_ID, 0, 0, 0), 1, "s", 1000, 1)


@when("it is to be sent afterwards")
def step_send(context):
    context.scheduler, context.worker = RecordingScheduler(), RecordingWorker()
    context.n_changes = 0

    def on_change():
        context.n_changes += 1

    sender = OrderSender(
        context.scheduler, {"w1": context.worker}, None, on_change, lambda: True
    )
    context.run(sender.send(WorkerOrder("w1", context.order)))


@then("the worker has received nothing")
def step_nothing_received(context):
    assert not context.worker.received


@then("the scheduler was told that the order was not sent")
def step_told_not_sent(context):
    expected = [("w1", context.order, OrderResult.NOT_SENT)]
    assert context.scheduler.answers == expected, context.scheduler.answers


@then("a planning round was asked for")
def step_plan_asked(context):
    assert context.n_changes == 1
