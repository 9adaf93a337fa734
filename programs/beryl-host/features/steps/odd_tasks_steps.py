from behave import given, then, when
from host_parts import CELL, make_worker_entry
from ownership_steps import make_owner

from berylcleat.host._clock import now_s
from berylcleat.host._peer_api import PeerApi
from berylcleat.host._peers import MovedTaskEnds
from berylcleat.host._records import AcceptedRow, MoveRow, MovesRow, encode
from berylcleat.http import HttpRequest
from berylcleat.model import QueuePolicy, Step, Submission, TaskDemand, TaskKey
from berylcleat.ports import StoreRow, WorkerReport
from berylcleat.scheduling import MovedTaskEnd, TaskMove

ID = "a" * 16


class Ownership:
    """Ownership of one cell."""

    def __init__(self, controller):
        self.controller_by_cell = {CELL: controller}


@given("its owner has a submission of one step")
def step_submission(context):
    steps = (Step(2, TaskDemand(1000, 1000)),)
    queue = QueuePolicy("q", "cardhouse")
    context.accepted = AcceptedRow(CELL, 0, Submission(ID, queue, "", steps))


async def tell(directory, controller, message, task):
    if message == "move":
        moves = encode(MovesRow((MoveRow(task, TaskMove("r2", 5)),)))
        directory.on_rows((StoreRow("t", "0", ID + ".moves", moves, 5),))
        return
    ends = (MovedTaskEnd(task, False), MovedTaskEnd(task, True))
    api = PeerApi(None, directory, Ownership(controller), None)
    body = encode(MovedTaskEnds(ID, ends))
    await api.handle(HttpRequest("POST", "/ends", (), body))


@when("it hears of the {message} of task {name}")
def step_hear(context, message, name):
    task = TaskKey(ID, *(int(number) for number in name.split(".")))

    async def run():
        controller = make_owner(context, 0)
        directory = controller._directory
        directory.add_accepted(context.accepted)
        await controller.start({"w1": make_worker_entry("w1")})
        directory.listeners.append(
            lambda key, entry: controller.attempt(controller.on_submission, key, entry)
        )
        now = now_s()
        report = WorkerReport(1000, 1, (), ())
        controller.scheduler.on_report("w1", report, now, now)
        await tell(directory, controller, message, task)
        controller.scheduler.plan(now, 1000.0)
        context.has_failed = controller.has_failed
        await controller.release()

    context.run(run())


@then("the cell goes on")
def step_goes_on(context):
    assert not context.has_failed
