from collections import Counter
from dataclasses import replace

from behave import given, then, when
from overload import (
    BEGIN_AT,
    CORES,
    FULL_RATE,
    LATE_LIMIT,
    N_TASKS,
    QUEUE,
    TICK_S,
    Cell,
    Service,
)

from berylcleat.model import Step, Submission, TaskDemand
from berylcleat.scheduling import (
    AdmissionController,
    Admit,
    BacklogMeter,
    CellLoad,
    CompletedWork,
    Progress,
    Refuse,
    ServiceLoads,
)
from berylcleat.scheduling._backlog import RATE_WINDOW_S
from berylcleat.scheduling._backlog_meter import MIN_COUNT_PERIOD_S
from berylcleat.scheduling._fair_shares import fair_shares

BURST_AT_S = 4.0


def count_outcomes(service):
    """Return how many callers got what, by account and data centre."""
    return Counter(
        (caller.data_centre, caller.submission.queue.name, caller.outcome())
        for caller in service.callers.values()
    )


@given("{n:d} entry hosts with loads {delay:g} s old")
def step_hosts(context, n, delay):
    context.service = {"n_hosts": n, "report_delay_s": delay}


@given(
    "{n:d} entry hosts with loads {delay:g} s old and callers with equal submissions"
)
def step_hosts_equal(context, n, delay):
    step_hosts(context, n, delay)
    context.service["estimates_s"] = (1.0, 1.0)


@given("{kind} whose runs take {slowdown:g} times their estimate")
def step_kind(context, kind, slowdown):
    context.service = {"fills": kind == "fillers", "slowdown": slowdown}


@when(
    "the data centres send {usual_1:g} and {usual_2:g}, "
    "and {burst_1:g} and {burst_2:g} for {burst_s:g} s"
)
def step_load(context, usual_1, usual_2, burst_1, burst_2, burst_s):
    def pattern(elapsed_s):
        is_burst = BURST_AT_S <= elapsed_s < BURST_AT_S + burst_s
        rates = (burst_1, burst_2) if is_burst else (usual_1, usual_2)
        return ("dc-1", rates[0] * FULL_RATE), ("dc-2", rates[1] * FULL_RATE)

    options = getattr(context, "service", {})
    context.today = Service(refuses=False, **options).run(pattern)
    context.new = Service(refuses=True, **options).run(pattern)
    print("today:", dict(count_outcomes(context.today)))
    print("new:  ", dict(count_outcomes(context.new)))


@then("nobody is refused and callers get the same from both")
def step_same(context):
    assert not context.new.refusals
    assert count_outcomes(context.new) == count_outcomes(context.today)


@then('callers of "{data_centre}" are refused')
def step_some_refused(context, data_centre):
    assert any(r.caller.data_centre == data_centre for r in context.new.refusals)


@then('no caller of "{data_centre}" is refused')
def step_none_refused(context, data_centre):
    refused = [r for r in context.new.refusals if r.caller.data_centre == data_centre]
    assert not refused, refused[0].decision


@then("each refusal hits what could not be done within the limit")
def step_rightly_refused(context):
    for refusal in context.new.refusals:
        if refusal.snapshot is not None:
            assert not context.new.could_be_done(refusal), refusal.decision


@then("nobody is refused while cores are free")
def step_no_free_cores(context):
    for refusal in context.new.refusals:
        assert refusal.n_free < N_TASKS, (refusal.n_free, refusal.decision)


@then("refused clients return in order, at a time that still serves them")
def step_return_in_order(context):
    last = 0.0
    for refusal in context.new.refusals:
        decision = refusal.decision
        path_s = refusal.caller.submission.steps[0].estimate_s
        latest_s = decision.limit_s - path_s
        assert 1 <= decision.retry_after_s <= latest_s, decision
        returns_at = refusal.at + decision.retry_after_s
        # A client that can't wait that long is told the last time that serves it.
        if decision.retry_after_s + 1 <= latest_s:
            assert returns_at >= last - 1e-6, (returns_at, last)
            last = returns_at


@then("the hosts together admit no more between two reports than the cells can do")
def step_no_herd(context):
    limit_s = LATE_LIMIT * (1.0 + QUEUE.objective_ms / 1000)
    age_s = context.new.report_delay_s + TICK_S
    # What can end within the age of a report and the limit, if the estimates are twice
    # the true times.
    left = 2 * FULL_RATE * (limit_s + age_s)
    # A report counts admissions up to the last count, and a host admits its last
    # submission while a bit of its part is left.
    bound = left * (1 + MIN_COUNT_PERIOD_S / RATE_WINDOW_S) + context.new.n_hosts
    assert most_admitted(context.new) <= bound < most_admitted(context.today)


def most_admitted(service):
    """Return the most submissions admitted at first try before one of them is late."""
    admitted = Counter(
        round((caller.first_at - BEGIN_AT) / TICK_S)
        for caller in service.callers.values()
        if caller.is_admitted and caller.n_tries == 1
    )
    n_ticks = int(1.4 / TICK_S)
    return max(sum(admitted[tick + n] for n in range(n_ticks)) for tick in admitted)


# One overloaded cell


def make_submission(number, queue=QUEUE, *, estimate_s=1.0, **options):
    n_occurrences = options.pop("n_occurrences", 0)
    step = Step(N_TASKS, TaskDemand(1000, 1), estimate_s=estimate_s, **options)
    return Submission(f"{number:016x}", queue, "s", (step,), n_occurrences)


@given("a cell whose waiting work exceeds the limit")
def step_overloaded(context):
    service = Service(refuses=False)
    full = 12 * FULL_RATE
    for _ in range(30):
        service.tick()
        for _ in range(round(full * TICK_S)):
            service.arrive("dc-1", 0)
    service.tick()
    context.cell, context.now = service.cells[0], service.now
    context.origin = service.data_centre_by_id
    at, backlog, room = context.cell.reports[-1]
    assert at == service.now
    context.load = CellLoad("r0", backlog, 0.0, room)
    context.controller = AdmissionController(LATE_LIMIT)
    assert isinstance(decide(context, make_submission(9000)), Refuse)


def decide(context, submission, *loads):
    cells = loads or (context.load,)
    service_loads = ServiceLoads(cells, cells[0].cell_id, "dc-1")
    return context.controller.decide(submission, service_loads, context.now)


@when("{n:d} submissions are refused at once")
def step_refuse_many(context, n):
    context.controller = AdmissionController(LATE_LIMIT)
    context.decisions = [decide(context, make_submission(9001 + k)) for k in range(n)]


@then("they return in order, no more in a second than drain in it")
def step_spread(context):
    told = [decision.retry_after_s for decision in context.decisions]
    assert told == sorted(told)
    latest = int(context.decisions[0].limit_s - 1.0)
    work = N_TASKS * 1000
    rate = context.load.backlog.ordinary.upper_bound()
    counts = Counter(told)
    # The first second also takes the turns that are due before it.
    for second in range(told[0] + 1, latest):
        assert counts[second] <= rate / work + 1, counts


@when("its load is missing and a submission arrives")
def step_missing(context):
    load = replace(context.load, backlog=None)
    context.decision = decide(context, make_submission(9001), load)


@when("its load is old and a submission arrives")
def step_old(context):
    load = replace(context.load, age_s=5.1)
    context.decision = decide(context, make_submission(9001), load)


@when("one of two cells reports no backlog and a submission arrives")
def step_no_backlog(context):
    other = CellLoad("r1", None, 0.0, 0)
    context.decision = decide(context, make_submission(9001), context.load, other)


@when("a submission with a long-running step arrives")
def step_long_running(context):
    submission = make_submission(9001, is_long_running=True)
    context.decision = decide(context, submission)


@when("a submission with scheduled times arrives")
def step_scheduled(context):
    context.decision = decide(context, make_submission(9001, n_occurrences=1))


@then("it is admitted")
def step_admitted(context):
    assert isinstance(context.decision, Admit), context.decision


@when("the next owner counts the submissions that it takes over")
def step_next_owner(context):
    meter = BacklogMeter(CompletedWork(), context.origin.get, LATE_LIMIT)
    cell = context.cell
    context.rebuilt = meter.count(
        cell.registry.live_by_id.values(),
        cell.view.run_by_task.values(),
        [cell.view],
        context.now,
    )


@then("its accounts and waiting work are those of the lost owner")
def step_same_backlog(context):
    lost = context.load.backlog
    assert context.rebuilt.queues == lost.queues
    assert context.rebuilt.waiting == lost.waiting


@then("its rate is unknown, so that a submission is admitted")
def step_rate_unknown(context):
    assert context.rebuilt.ordinary.n_submissions == 0
    load = replace(context.load, backlog=context.rebuilt)
    queued = context.rebuilt.ordinary
    assert queued.upper_bound() == 2 * CORES * 1000
    context.decision = decide(context, make_submission(9001), load)


@given("a cell with room for one submission, reported 0.2 s ago")
def step_room(context):
    step_overloaded(context)
    context.load = replace(context.load, age_s=0.2, room=N_TASKS * 1000)


@when("a submission is admitted and withdrawn as not stored")
def step_withdraw(context):
    first = make_submission(9001)
    assert isinstance(decide(context, first), Admit)
    assert isinstance(decide(context, make_submission(9002)), Refuse)
    context.controller.withdraw(first.submission_id)


@then("the next one finds the room free")
def step_room_free(context):
    assert isinstance(decide(context, make_submission(9003)), Admit)


@given("a cell with waiting work of {n:d} accounts")
def step_accounts(context, n):
    context.origin = {}
    context.cell = Cell("r0", context.origin)
    for number in range(n):
        submission = make_submission(number, estimate_s=1.0 + number, fills=True)
        context.origin[submission.submission_id] = f"dc-{number}"
        tracked = context.cell.registry.add(submission, Progress(), 100.0)
        tracked.activate_due_steps(0.0)


@when("its owner counts the backlog")
def step_count(context):
    context.cell.report(100.0)
    context.backlog = context.cell.reports[-1][1]


@then("{n:d} accounts and the sum of the rest make up all of the work")
def step_accounts_summed(context, n):
    queue, rest = context.backlog.queues
    assert len(queue.by_data_centre) == n and rest.queue == ""
    (rest_work,) = rest.by_data_centre.values()
    smallest = min(waiting for waiting, _ in queue.by_data_centre.values())
    assert rest_work[0] < (20 - n) * smallest
    waiting = [work[0] for work in queue.by_data_centre.values()]
    total = sum(N_TASKS * (1 + number) for number in range(20))
    assert sum(waiting) + rest_work[0] == total


@when("{capacity:d} is shared among {demands}")
def step_share(context, capacity, demands):
    numbered = dict(enumerate(int(demand) for demand in demands.split()))
    context.shares = list(fair_shares(numbered, capacity).values())


@then("the shares are {shares}")
def step_shares(context, shares):
    assert context.shares == [int(share) for share in shares.split()], context.shares
