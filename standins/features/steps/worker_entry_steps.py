from behave import given, step, then, when

from berylcleat.standins._worker_entries import WorkerEntries


@given('a worker "{worker_id}" with the state "{state}"')
def step_worker(context, worker_id, state):
    if "entries" not in context:
        context.state_by_worker = {}
        context.entries = WorkerEntries(
            context.state_by_worker.__setitem__, context.state_by_worker.pop
        )
    context.worker_id = worker_id
    context.entries.publish(worker_id, state)


@step("it is cut off at {now:f} s, {age_s:f} s after its last heartbeat")
def step_cut_off(context, now, age_s):
    context.entries.cut_off(context.worker_id, now, age_s)


@step("it leaves")
def step_leave(context):
    context.entries.leave(context.worker_id)


@when("it reaches the store again")
def step_reconnect(context):
    context.entries.reconnect(context.worker_id)


@when("all entries are removed, and due again at {now:f} s")
def step_outage(context, now):
    context.entries.remove_all()
    context.entries.return_all(now)


@then('its entry says "{state}" at {now:f} s')
def step_says(context, state, now):
    context.entries.advance(now)
    assert context.state_by_worker[context.worker_id] == state


@then("its entry is gone at {now:f} s")
def step_gone(context, now):
    context.entries.advance(now)
    assert context.worker_id not in context.state_by_worker, context.state_by_worker


@then('the store holds the entries of "{worker_id}" only')
def step_only(context, worker_id):
    assert set(context.state_by_worker) == {worker_id}, context.state_by_worker
