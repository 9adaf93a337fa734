from behave import then, when
from gang_steps import SUBMISSION_ID

from berylcleat.model import AdvicePolicy, QueuePolicy, Step, TaskDemand
from berylcleat.ports import OrderAnswer, OrderResult, Ticket

POLICY = QueuePolicy("q", "svc", advice=AdvicePolicy(0.1, 0.01, 5.0))


@when("a submission of {n:d} tasks of an advised queue is added")
def step_submit(context, n):
    scripted_cell = context.scripted_cell
    scripted_cell.submit(Step(n, TaskDemand(1000, 100)), queue=POLICY)
    scripted_cell.step()
    context.requests = scripted_cell.cell.advice.take_requests()


@when('the advice names "{worker_id}" with the ticket "{text}"')
def step_advice(context, worker_id, text):
    scripted_cell = context.scripted_cell
    (request,) = context.requests
    tickets = (Ticket(worker_id, text),)
    scripted_cell.cell.advice.on_answer(
        request, tickets, scripted_cell.now + POLICY.advice.valid_s
    )
    scripted_cell.step()


@when(
    'the advice names "{worker_id}", which is full for {seconds:d} seconds, '
    'with the ticket "{text}"'
)
def step_advice_while_full(context, worker_id, text, seconds):
    scripted_cell = context.scripted_cell
    view = scripted_cell.cell.worker_by_id[worker_id]
    view.used = view.entry.capacity
    step_advice(context, worker_id, text)
    for _ in range(seconds * 5):
        scripted_cell.step()
    view.used = TaskDemand()
    scripted_cell.step()


@when("the worker rejects the ticket")
def step_reject(context):
    scripted_cell = context.scripted_cell
    (item,) = scripted_cell.starts
    answer = OrderAnswer(OrderResult.BAD_TICKET)
    scripted_cell.cell.on_start_answer(
        item.worker_id, item.order, answer, scripted_cell.now
    )
    scripted_cell.step()


@then("all {n:d} workers are in one advice request")
def step_requested(context, n):
    (request,) = context.requests
    assert len(request.worker_ids) == n
    assert str(request.step) == f"{SUBMISSION_ID}.0.0"


@then("no task has been started")
def step_none_started(context):
    assert not context.scripted_cell.starts


@then('all {n:d} tasks are started on "{worker_id}" with the ticket "{text}"')
def step_started(context, n, worker_id, text):
    starts = context.scripted_cell.starts
    assert len(starts) == n
    assert {item.worker_id for item in starts} == {worker_id}
    assert {item.order.ticket for item in starts} == {text}


@then("a ticket for the worker is requested again")
def step_requested_again(context):
    (request,) = context.scripted_cell.cell.advice.take_requests()
    assert request.worker_ids == ("w0",)
