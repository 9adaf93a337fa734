"""Steps of a cell whose draining worker can't be reached while its runs go on."""

from dataclasses import replace

from behave import given, then, when
from gang_steps import SUBMISSION_ID, ScriptedCell

from berylcleat.model import Step, TaskDemand, TaskKey
from berylcleat.scheduling import CellScheduler, InterferenceModel

TASK = TaskKey(SUBMISSION_ID, 0, 0, 0)
STEP = Step(1, TaskDemand(5000, 100))
TICK_S = 0.2
N_WORKERS = 2


def hold_workers(scripted_cell: ScriptedCell, unreachable=frozenset()) -> None:
    """Renew leases and handle failed holds as the hold loops of a host do."""
    cell, now = scripted_cell.cell, scripted_cell.now
    for worker_id, view in tuple(cell.worker_by_id.items()):
        if worker_id not in unreachable:
            if view.has_seen_epoch and view.hold_failed_at is None:
                cell.lease_until_ms(view, now)
            continue
        cell.on_hold_failed(worker_id, now)
        if hasattr(cell, "on_connection_refused"):
            cell.on_connection_refused(worker_id, now)
        if cell.can_forget(worker_id):
            del cell.worker_by_id[worker_id]


def pass_time(scripted_cell: ScriptedCell, until: float) -> None:
    """Hold the workers and plan until a time."""
    while scripted_cell.now + TICK_S <= until:
        hold_workers(scripted_cell, scripted_cell.silent)
        scripted_cell.step(TICK_S)


def leases_expire_at(context) -> float:
    view = context.scripted_cell.cell.worker_by_id[context.worker_id]
    return view.leases_expire_at()


def record_workers(scripted_cell: ScriptedCell) -> tuple:
    """Record the workers as the owner does and return what is recorded."""
    views = scripted_cell.cell.worker_by_id
    scripted_cell.cell.on_workers_recorded(frozenset(views))
    return tuple(view.entry for view in views.values())


def take_over(
    earlier: ScriptedCell, recorded_workers, *, is_dead: bool
) -> ScriptedCell:
    """Return the cell as its next owner sees it, which reaches all but silent workers.

    The list has only the workers that the earlier owner had seen listed.
    """
    earlier_cell, now = earlier.cell, earlier.now
    times = earlier_cell.times
    cell = ScriptedCell(N_WORKERS, 8000)
    cell.now = now
    cell.running, cell.ended = earlier.running, earlier.ended
    cell.silent = set(earlier.silent)
    cell.settled_at = now + times.takeover_wait_s(owner_is_dead=is_dead)
    cell.cell = CellScheduler(
        "r1",
        earlier_cell.epoch + 1,
        times,
        now,
        cell.settled_at,
        recorded_workers,
        InterferenceModel(),
    )
    for view in earlier_cell.worker_by_id.values():
        if view.is_listed:
            cell.cell.list_worker(view.entry, now)
    record_workers(cell)
    cell.submit(STEP, inherited=True)
    return cell


@given("a running task on a draining worker")
def step_draining(context):
    scripted_cell = context.scripted_cell
    scripted_cell.submit(STEP)
    scripted_cell.step()
    item = scripted_cell.starts.pop()
    scripted_cell.accept(item)
    pass_time(scripted_cell, scripted_cell.now + 1)
    context.worker_id = item.worker_id
    entry = scripted_cell.cell.worker_by_id[item.worker_id].entry
    scripted_cell.cell.list_worker(replace(entry, is_draining=True), scripted_cell.now)
    pass_time(scripted_cell, scripted_cell.now + 1)
    context.entry = scripted_cell.cell.worker_by_id[item.worker_id].entry
    context.recorded_workers = record_workers(scripted_cell)


@when("the draining worker falls silent and its entry goes after {seconds:d} s")
def step_falls_silent(context, seconds):
    scripted_cell = context.scripted_cell
    hold_workers(scripted_cell)
    context.leases_end_at = leases_expire_at(context)
    scripted_cell.silent.add(context.worker_id)
    pass_time(scripted_cell, scripted_cell.now + seconds)
    scripted_cell.cell.unlist_worker(context.worker_id)


@when("it answers again after {seconds:d} s")
def step_answers_again(context, seconds):
    scripted_cell = context.scripted_cell
    pass_time(scripted_cell, scripted_cell.now + seconds)
    scripted_cell.silent.clear()
    pass_time(scripted_cell, scripted_cell.now + 2)


@then("the run goes on and its task isn't started again")
def step_run_goes_on(context):
    scripted_cell = context.scripted_cell
    assert not scripted_cell.starts, scripted_cell.starts
    assert not scripted_cell.stops, scripted_cell.stops


@then("the task isn't started before the leases of the worker have ended")
def step_waits_for_lease(context):
    scripted_cell = context.scripted_cell
    pass_time(scripted_cell, context.leases_end_at)
    assert not scripted_cell.starts, (scripted_cell.now, scripted_cell.starts)


@then("the task is started on the other worker within {seconds:d} s")
def step_started_within(context, seconds):
    scripted_cell = context.scripted_cell
    pass_time(scripted_cell, context.leases_end_at + seconds)
    started = [item.worker_id for item in scripted_cell.starts]
    assert len(started) == 1, started
    assert started[0] != context.worker_id, started


# Takeovers


@when("the draining worker can't be reached by the next owner and its entry goes")
def step_unreachable_by_next(context):
    scripted_cell = context.scripted_cell
    hold_workers(scripted_cell)
    context.leases_end_at = leases_expire_at(context)
    scripted_cell.cell.unlist_worker(context.worker_id)
    context.earlier_owners = []


@when("the owner dies, and another one takes the cell over")
def step_owner_dies(context):
    replace_owner(context)


@when(
    "the owner is cut off and renews leases for {seconds:d} s, and another one takes "
    "the cell over"
)
def step_owner_cut_off(context, seconds):
    earlier = context.scripted_cell
    replace_owner(context, is_dead=False)
    pass_time(earlier, earlier.now + seconds)
    hold_workers(earlier)
    view = earlier.cell.worker_by_id[context.worker_id]
    context.leases_end_at = view.leases_expire_at()


def replace_owner(context, *, is_dead: bool = True) -> None:
    """Replace the owner by another one, which can't reach the draining worker."""
    earlier = context.scripted_cell
    context.earlier_owners.append(earlier)
    owner = take_over(earlier, context.recorded_workers, is_dead=is_dead)
    owner.silent.add(context.worker_id)
    context.scripted_cell = owner


@when("that one dies after {seconds:d} s, and a third one takes the cell over")
def step_second_dies(context, seconds):
    second = context.scripted_cell
    pass_time(second, second.now + seconds)
    context.recorded_workers = record_workers(second)
    replace_owner(context)


@then(
    "the inherited task isn't started before the leases of the earlier owner have ended"
)
def step_inherited_waits(context):
    owner = context.scripted_cell
    pass_time(owner, context.leases_end_at)
    for cell in (*context.earlier_owners, owner):
        assert not cell.starts, (cell.cell.epoch, cell.now, cell.starts)


@then("the inherited task is started once no run of an earlier owner can be left")
def step_inherited_starts(context):
    owner = context.scripted_cell
    pass_time(owner, owner.settled_at + 1)
    started = [item.worker_id for item in owner.starts]
    assert len(started) == 1, started
    assert started[0] != context.worker_id, started


# A store that is away


@when("all entries go and the draining worker can't be reached for {seconds:d} s")
def step_store_away(context, seconds):
    scripted_cell = context.scripted_cell
    for worker_id in scripted_cell.running:
        scripted_cell.cell.unlist_worker(worker_id)
    pass_time(scripted_cell, scripted_cell.now + 1)
    scripted_cell.silent.add(context.worker_id)
    pass_time(scripted_cell, scripted_cell.now + seconds)


@when(
    "the entry of the other worker comes back {seconds:d} s before that of the "
    "draining one"
)
def step_other_back(context, seconds):
    scripted_cell = context.scripted_cell
    views = scripted_cell.cell.worker_by_id
    (other,) = scripted_cell.running.keys() - {context.worker_id}
    scripted_cell.cell.list_worker(views[other].entry, scripted_cell.now)
    pass_time(scripted_cell, scripted_cell.now + seconds)
    scripted_cell.silent.clear()
    scripted_cell.cell.list_worker(context.entry, scripted_cell.now)
    pass_time(scripted_cell, scripted_cell.now + 2)
