import re

from admission_steps import DATA_CENTRE, make_submission
from behave import given, then, when
from msgspec.structs import replace
from odd_record_steps import count_log

from berylcleat.host._cell_chooser import CellChooser
from berylcleat.host._cell_directory import CellDirectory
from berylcleat.host._clock import now_s
from berylcleat.host._operator_state import OperatorState
from berylcleat.host._records import (
    CELL_TABLE,
    LOAD_PREFIX,
    OWNER_KEY,
    CellSummary,
    LoadRow,
    OwnerRow,
    encode,
)
from berylcleat.host._task_mover import TaskMover
from berylcleat.model import Step, TaskDemand
from berylcleat.ports import StoreRow
from berylcleat.scheduling import FillerHeadroom, InterferenceModel
from berylcleat.scheduling._backlog import (
    CellBacklog,
    DrainRate,
    QueueWork,
    WaitingWork,
)
from berylcleat.scheduling._moves import HeadroomReservations

HUGE = "9" * 400
# Each number of the load occurs once in it.
NUMBER_BY_NAME = {
    "capacity": 64001,
    "free": 64002,
    "waiting": 3,
    "filler room": 64004,
    "fill waiting": 5,
    "pending": 6,
    "stuck": 7,
    "worker": 64008,
    "work": 9,
    "late work": 11,
    "slack": 12,
    "processors": 64013,
    "submissions": 14,
    "admitted": 15,
}
LOAD = LoadRow(
    1,
    CellSummary(
        "svc",
        DATA_CENTRE,
        64001,
        64002,
        3,
        (FillerHeadroom((), 64004),),
        5,
        {"batch": 6},
        7,
        (64008,),
        CellBacklog(
            (QueueWork("batch", 4, False, {DATA_CENTRE: (9, 10)}),),
            (WaitingWork(4, False, 11, (12,)),),
            DrainRate(64013, 0, 14),
            DrainRate(64014),
            15,
        ),
    ),
)


class NoCells:
    """Ownership of no cell."""

    controller_by_cell = {}

    def summaries(self):
        return {}


def put_load(context, cell_id, value):
    context.version += 1
    key = LOAD_PREFIX + cell_id
    row = StoreRow("t", DATA_CENTRE, key, value, context.version)
    context.cells.on_data_centre_rows((row,))


def put_owner(context, cell_id, epoch):
    context.version += 1
    owner = encode(OwnerRow(epoch, "host-2", "aa", 0.0, DATA_CENTRE, ""))
    row = StoreRow(CELL_TABLE, cell_id, OWNER_KEY, owner, context.version)
    context.cells.on_owner_rows((row,))


@given('a host that knows the loads of the cells "{names}"')
def step_loads(context, names):
    context.version = 1
    context.cells = CellDirectory(DATA_CENTRE)
    for cell_id in names.split():
        put_owner(context, cell_id, 1)
        put_load(context, cell_id, encode(LOAD))
    count_log(context)


@when('the load of "{cell_id}" with an odd {name} arrives {n:d} times')
def step_odd_load(context, cell_id, name, n):
    number = NUMBER_BY_NAME[name]
    odd = "-1" if name == "submissions" else HUGE
    value, n_replaced = re.subn(rf"\b{number}\b", odd, encode(LOAD).decode())
    assert n_replaced == 1, value
    for _ in range(n):
        put_load(context, cell_id, value.encode())


@then("a submission is admitted to a known cell")
def step_admitted(context):
    chooser = CellChooser(
        DATA_CENTRE,
        context.cells,
        NoCells(),
        InterferenceModel(),
        OperatorState(),
        3.0,
    )
    decision = chooser.decide(make_submission())
    assert decision.cell_id in ("r1", "r2"), decision
    assert chooser.n_pending("batch") < 1000


@then('a task of another cell finds headroom in "{cell_id}"')
def step_headroom(context, cell_id):
    mover = TaskMover(None, None, context.cells, None, NoCells(), OperatorState())
    headrooms = mover.headrooms("r3", DATA_CENTRE)
    assert cell_id in {headroom.cell_id for headroom in headrooms}
    reservations = HeadroomReservations(headrooms, InterferenceModel())
    for fills in (False, True):
        step = Step(1, TaskDemand(1000, 100), fills=fills)
        assert reservations.reserve(step, "svc") in ("r1", "r2")


@when(
    'loads of "{cell_id}" under the epochs "{epochs}" and the owner row of epoch 1 '
    "arrive"
)
def step_odd_epochs(context, cell_id, epochs):
    for epoch in epochs.split():
        put_load(context, cell_id, encode(replace(LOAD, epoch=int(epoch))))
    step_owner(context, 1, cell_id)


@when('the owner row of epoch {epoch:d} of "{cell_id}" arrives')
def step_owner(context, epoch, cell_id):
    put_owner(context, cell_id, epoch)


@when(
    'a load of "{cell_id}" with the free capacity {free:d} arrives under the epoch '
    "{epoch:d}"
)
def step_load(context, cell_id, free, epoch):
    summary = replace(LOAD.summary, cpu_free=free)
    put_load(context, cell_id, encode(LoadRow(epoch, summary)))


@then('the load of "{cell_id}" that counts has the free capacity {free:d}')
def step_current(context, cell_id, free):
    assert context.cells.summaries()[cell_id].cpu_free == free
    assert context.cells.load_age_s(cell_id, now_s()) < 10.0
