from behave import then, when
from gang_steps import GANG_ID

from berylcleat.model import AdvicePolicy, QueuePolicy, Step, Submission, TaskDemand
from berylcleat.ports import OrderAnswer, OrderResult, Ticket
from berylcleat.scheduling import Progress

POLICY = QueuePolicy("q", "svc", advice=AdvicePolicy(0.1, 0.01, 5.0))


@when("a submission of {n:d} tasks of an advised queue is handed in")
def step_hand_in(context, n):
    gang = context.gang
    gang.cell.add_submission(
        Submission(GANG_ID, POLICY, "s", (Step(n, TaskDemand(1000, 100)),)),
        Progress(),
        gang.now,
        gang.now,
        inherited=False,
    )
    gang.step()
    context.requests = gang.cell.advice.take_requests()


@when('the advice names "{worker_id}" with the ticket "{text}"')
def step_advice(context, worker_id, text):
    gang = context.gang
    (request,) = context.requests
    tickets = (Ticket(worker_id, text),)
    gang.cell.advice.on_answer(request, tickets, gang.now + POLICY.advice.valid_s)
    gang.step()


@when(
    'the advice names "{worker_id}" with the ticket "{text}" and {seconds:d} seconds '
    "pass without room"
)
def step_advice_late(context, worker_id, text, seconds):
    gang = context.gang
    view = gang.cell.worker_by_id[worker_id]
    view.used = view.entry.capacity
    step_advice(context, worker_id, text)
    for _ in range(seconds * 5):
        gang.step()
    view.used = TaskDemand()
    gang.step()


@when("the worker refuses the ticket")
def step_refuse(context):
    gang = context.gang
    (item,) = gang.starts
    answer = OrderAnswer(OrderResult.BAD_TICKET)
    gang.cell.on_start_answer(item.worker_id, item.order, answer, gang.now)
    gang.step()


@then("all {n:d} workers are asked for in one request")
def step_asked(context, n):
    (request,) = context.requests
    assert len(request.worker_ids) == n
    assert str(request.step) == f"{GANG_ID}.0.0"


@then("nothing has been started")
def step_none(context):
    assert not context.gang.starts


@then('all {n:d} tasks are started on "{worker_id}" with the ticket "{text}"')
def step_started(context, n, worker_id, text):
    starts = context.gang.starts
    assert len(starts) == n
    assert {item.worker_id for item in starts} == {worker_id}
    assert {item.order.ticket for item in starts} == {text}


@then("the worker is asked for again")
def step_again(context):
    (request,) = context.gang.cell.advice.take_requests()
    assert request.worker_ids == ("w0",)
