import random
from collections import Counter
from dataclasses import replace

from behave import given, then, when
from expected_finish_steps import add, compare
from load_loop import Arrival, LoadLoop

from berylcleat.model import QueuePolicy, Step, Submission, TaskDemand, TaskKey
from berylcleat.scheduling import CellHeadroom, TaskMove

INTERACTIVE = QueuePolicy(
    "interactive", "svc", priority=1, max_attempts=3, stretch=1.5, objective_ms=500
)
DEMAND = TaskDemand(1000, 100)
CORES_PER_CELL = 32
ESTIMATE_S = 3.0


@given(
    "interactive steps of {n_tasks:d} tasks for cells of 16, 32 and 32 cores, "
    "of {n:d} seeds"
)
def step_interactive(context, n_tasks, n):
    def make_arrivals(seed):
        rng = random.Random(seed)
        arrivals = []
        for number in range(15):
            step = Step(n_tasks, DEMAND, estimate_s=rng.uniform(0.4, 0.8))
            submission = Submission(f"{number:016x}", INTERACTIVE, "s", (step,))
            at = 5.0 + number * 2.0 + rng.random()
            arrivals.append(Arrival(at, 0, submission))
        return arrivals

    compare(context, n, (2, 4, 4), make_arrivals, serves=False)


@then("no task has moved more than twice")
def step_at_most_two_moves(context):
    counts = [
        move.n_moves
        for loop in context.loops
        for moves in loop.moves_by_id.values()
        for move in moves.values()
    ]
    assert counts and max(counts) <= 2, max(counts, default=0)


@given("two full cells whose tasks wait and a third cell with capacity")
def step_full_cells(context):
    context.loop = loop = LoadLoop(1, (4, 4, 4), expected_finish=True)
    for _ in range(5):
        loop.tick()
    loop.headrooms.clear()
    # The moves are proposed by the scenario.
    loop.moves_tasks = False
    step = Step(CORES_PER_CELL, DEMAND, estimate_s=ESTIMATE_S)
    for number in (0, 1):
        for order in range(2):
            add(loop, 10 * number + order + 1, step, home=number)
    for _ in range(3):
        loop.tick()
    cell = loop.cells[2]
    context.headroom = loop.make_headroom(cell)
    assert context.headroom.free == CORES_PER_CELL * 1000
    context.proposals = []


def propose(context, number, headrooms, now=None):
    now = context.loop.now if now is None else now
    proposals = context.loop.cells[number].propose_moves(headrooms, now)
    return [move for p in proposals for move in p.move_by_task.values()]


def both_headrooms(context, number):
    """Return the loads of the other full cell and of the third one."""
    other = context.loop.make_headroom(context.loop.cells[1 - number])
    return (other, context.headroom)


@when("both propose moves on the same load of the third cell")
@when("both propose moves on that load again")
def step_both_propose(context):
    context.moves = [propose(context, n, both_headrooms(context, n)) for n in (0, 1)]


@then("tasks of both are moved, in all no more than the third cell has capacity for")
def step_no_more_than_capacity(context):
    n_by_cell = [len(moves) for moves in context.moves]
    assert sum(n_by_cell) <= CORES_PER_CELL, n_by_cell
    assert all(move.cell_id == "r2" for moves in context.moves for move in moves)
    assert all(n_by_cell), n_by_cell


@then("no further task is moved")
def step_no_further(context):
    assert context.moves == [[], []], context.moves


@when("a full cell proposes moves on a load that is {state}")
def step_propose_on(context, state):
    headrooms = ()
    if state != "missing":
        age_s = float(state.split()[0])
        headrooms = (replace(context.headroom, age_s=age_s),)
    context.moves = propose(context, 0, headrooms)


@then("{n} of its tasks are moved")
def step_n_moved(context, n):
    assert bool(context.moves) == (n == "some"), context.moves


@when("a proposal of a full cell is rejected by the store")
def step_conflict(context):
    cell, now = context.loop.cells[0], context.loop.now
    (proposal,) = cell.propose_moves((context.headroom,), now)
    cell.on_move_settled(proposal, now)


@then("its step is proposed again 0.3 s later and not before")
def step_again(context):
    loop = context.loop
    rejected_at = loop.now
    while loop.now < rejected_at + 0.25:
        assert not propose(context, 0, (context.headroom,)), loop.now
        loop.tick()
    while loop.now < rejected_at + 2.5:
        loop.tick()
    assert propose(context, 0, (context.headroom,))


@when("a task that has moved {times} arrives in a full cell")
def step_arrives(context, times):
    loop = context.loop
    n_moves = {"once": 1, "twice": 2}[times]
    # The task is the only one that waits.
    for ready in list(loop.cells[0].submissions.iter_ready()):
        loop.cells[0].cancel(ready.tracked.submission.submission_id, loop.now)
    submission_id = add(loop, 90 + n_moves, Step(1, DEMAND, estimate_s=9.0), home=2)
    loop.cells[2].cancel(submission_id, loop.now)
    task = TaskKey(submission_id, 0, 0, 0)
    move = TaskMove("r0", 0, n_moves=n_moves)
    loop.add_moved(0, submission_id, {task: move})
    context.task = task
    context.arrived_at = loop.now


def may_move_on(context):
    cell, now = context.loop.cells[0], context.loop.now
    proposals = cell.propose_moves((context.headroom,), now)
    return any(context.task in proposal.move_by_task for proposal in proposals)


@then("it may move on after 1 s and not before")
def step_not_before(context):
    loop = context.loop
    while loop.now < context.arrived_at + 0.9:
        loop.tick()
        assert not may_move_on(context), loop.now
    for _ in range(3):
        loop.tick()
    assert may_move_on(context)


@then("it stays for the next 2 s")
def step_stays(context):
    while context.loop.now < context.arrived_at + 2.0:
        context.loop.tick()
        assert not may_move_on(context), context.loop.now
    assert context.task not in context.loop.cells[0].run_by_task


@when("the runs of a full cell are expected to end within 0.1 s")
def step_about_to_end(context):
    cell = context.loop.cells[0]
    began_at = min(run.started_at for run in cell.run_by_task.values())
    context.moves = propose(
        context, 0, (context.headroom,), began_at + ESTIMATE_S - 0.1
    )


@given("{n:d} cells in each of which {n_stuck:d} standing tasks of 4 cores are stuck")
def step_standing_stuck(context, n, n_stuck):
    fill_with_standing(context, n, n_stuck, expected_finish=True)


@given(
    "a full cell without expected finish, in which a standing task of 4 cores is stuck"
)
def step_standing_stuck_without(context):
    fill_with_standing(context, 1, 1, expected_finish=False)


def fill_with_standing(
    context, n, n_stuck, *, expected_finish, is_long_running=True, stuck_s=0.8
):
    """Fill ``n`` cells with standing tasks, and let ``n_stuck`` wait in each.

    Those that wait are standing tasks, too, unless ``is_long_running`` is false.
    """
    context.loop = loop = LoadLoop(1, (1,) * n, expected_finish=expected_finish)
    loop.moves_tasks = False
    for number in range(n):
        # Those of the first submission run and fill the cell's worker.
        for order, n_tasks in enumerate((2, n_stuck)):
            step = Step(
                n_tasks,
                TaskDemand(4000, 100),
                estimate_s=ESTIMATE_S,
                is_long_running=is_long_running or not order,
            )
            submission_id = f"{2 * number + order + 1:016x}"
            submission = Submission(submission_id, INTERACTIVE, "s", (step,))
            loop.accept(number, submission)
    for _ in range(round(stuck_s / loop.tick_s)):
        loop.tick()


@given(
    "a full cell {switch} expected finish, in which a task of 4 cores is stuck for "
    "{stuck_s:f} s"
)
def step_ordinary_stuck(context, switch, stuck_s):
    has_switch = switch == "with"
    fill_with_standing(
        context,
        1,
        1,
        expected_finish=has_switch,
        is_long_running=False,
        stuck_s=stuck_s + 0.2,
    )


@when(
    "it proposes moves to two cells of 40 cores with a slot of 4 cores and {free:d} "
    "cores free"
)
def step_propose_to_single_slots(context, free):
    rest = 1000 * free - 4000
    pieces = (3000,) * (rest // 3000)
    loads = tuple(
        CellHeadroom(
            cell_id, "svc", 1000 * free, (), 0, 40000, free_by_worker=(4000, *pieces)
        )
        for cell_id in ("t0", "t1")
    )
    context.moves = propose(context, 0, loads)


@then("the task {moves} to one of them")
def step_moves_to_one(context, moves):
    cells = [move.cell_id for move in context.moves]
    assert len(cells) == (moves == "moves") and {"t0", "t1"}.issuperset(cells), cells


@given(
    "a cell {switch} expected finish with {workers}, in which a standing task of 4 "
    "cores is stuck for {stuck_s:f} s"
)
def step_stranded(context, switch, workers, stuck_s):
    fill_with_standing(
        context, 1, 1, expected_finish=switch == "with", stuck_s=stuck_s + 0.2
    )
    remove_workers(context.loop.cells[0], workers)


def remove_workers(cell, workers):
    """Leave a cell "no worker", "a worker that is drained" or "a full worker"."""
    for worker_id, view in tuple(cell.worker_by_id.items()):
        if workers == "no worker":
            cell.unlist_worker(worker_id)
        elif workers == "a worker that is drained":
            view.entry = replace(view.entry, is_draining=True)


@when("it proposes moves to a full cell of {cores:d} cores")
def step_propose_to_full(context, cores):
    load = CellHeadroom(
        "t0", "svc", 0, (), 0, 1000 * cores, free_by_worker=(0,) * 10, waiting=20000
    )
    context.moves = propose(context, 0, (load,), context.loop.now)


@then("{n:d} tasks are moved there")
def step_moved_there(context, n):
    assert [move.cell_id for move in context.moves] == ["t0"] * n, context.moves


@when('each proposes moves twice to cells of "{cores}" cores on loads {age_s:f} s old')
def step_propose_standing(context, cores, age_s):
    context.slots = {f"t{n}": int(c) // 4 for n, c in enumerate(cores.split())}
    full = dict.fromkeys((cell.cell_id for cell in context.loop.cells), 0)
    loads = [
        CellHeadroom(c, "svc", 4000 * n, (), 0, free_by_worker=(4000 * n,), age_s=age_s)
        for c, n in {**full, **context.slots}.items()
    ]
    now = context.loop.now
    numbers = range(len(context.loop.cells))
    context.moves = [
        move
        for at in (now, now + 0.3)
        for number in numbers
        for move in propose(
            context, number, (*loads[:number], *loads[number + 1 :]), at
        )
    ]


@when(
    "it proposes moves to a cell with {n:d} slots of 4 cores, where {waiting:d} cores "
    "are waited for"
)
def step_propose_beside_waiting(context, n, waiting):
    context.slots = {"t0": n}
    free = 4000 * n - 1000 * waiting
    load = CellHeadroom("t0", "svc", free, (), 0, free_by_worker=(4000,) * n)
    context.moves = propose(context, 0, (load,), context.loop.now)


@then("{n:d} tasks are moved, to each cell some but no more than it has capacity for")
def step_spread(context, n):
    n_by_cell = Counter(move.cell_id for move in context.moves)
    assert n_by_cell.total() == n, n_by_cell
    assert not n or n_by_cell.keys() == context.slots.keys(), n_by_cell
    assert all(n_by_cell[c] <= slots for c, slots in context.slots.items()), n_by_cell


GAP_DEMAND = TaskDemand(4000, 100)
PROMPT = QueuePolicy(
    "prompt", "svc", priority=0, max_attempts=3, stretch=1.5, objective_ms=1000
)


@given(
    "{n_full:d} full cell where {n_tasks:d} tasks of 4 cores wait, and {n_gaps:d} "
    "cells with a gap of 5 cores"
)
@given(
    "{n_full:d} full cells where {n_tasks:d} tasks of 4 cores wait, and {n_gaps:d} "
    "cells with a gap of 5 cores"
)
def step_gaps(context, n_full, n_tasks, n_gaps):
    context.loop = loop = LoadLoop(1, (1,) * n_full, expected_finish=True)
    loop.moves_tasks = False
    for number in range(n_full):
        # Those of the first submission run and fill the cell's worker.
        for order, n in enumerate((2, n_tasks)):
            submission_id = f"{2 * number + order + 1:016x}"
            step = Step(n, GAP_DEMAND, estimate_s=9.0)
            loop.accept(number, Submission(submission_id, PROMPT, "s", (step,)))
    for _ in range(5):
        loop.tick()
    context.gaps = tuple(
        CellHeadroom(f"t{n}", "svc", 6000, (), 0, 64000, (5000, 1000))
        for n in range(n_gaps)
    )


@when("each full cell proposes moves on the same loads")
def step_each_proposes(context):
    loop = context.loop
    loads = {cell.cell_id: loop.make_headroom(cell) for cell in loop.cells}
    context.moves = []
    for number, cell in enumerate(loop.cells):
        others = tuple(load for i, load in loads.items() if i != cell.cell_id)
        context.moves.append(propose(context, number, others + context.gaps))


def most_moved_to_one(context):
    targets = Counter(move.cell_id for moves in context.moves for move in moves)
    return max(targets.values(), default=0)


@then("all {n:d} tasks of each are moved, at most 1 to a cell")
def step_all_moved(context, n):
    assert [len(moves) for moves in context.moves] == [n], context.moves
    assert most_moved_to_one(context) == 1


@then("each moves some tasks, and at most 1 is moved to a cell")
def step_some_moved(context):
    assert all(context.moves), context.moves
    assert most_moved_to_one(context) == 1


@then("no further task is moved by any")
def step_none_moved(context):
    assert not any(context.moves), context.moves


@given(
    "interactive steps of {n_tasks:d} tasks of 4 cores, every {every_s:f} s, in "
    "{n_cells:d} cells with a gap for one task each"
)
def step_nearly_full(context, n_tasks, every_s, n_cells):
    n_workers = 4
    context.loop = loop = LoadLoop(1, (n_workers,) * n_cells, expected_finish=True)
    standing = Step(n_workers, TaskDemand(3000, 100), is_long_running=True)
    filling = Step(n_workers - 1, GAP_DEMAND, is_long_running=True)
    for number in range(n_cells):
        for order, step in enumerate((standing, filling)):
            submission_id = f"{2 * number + order + 1:016x}"
            loop.accept(number, Submission(submission_id, PROMPT, "s", (step,)))
    for _ in range(5):
        loop.tick()
    rng = random.Random(1)
    arrivals = []
    for number in range(40):
        step = Step(n_tasks, GAP_DEMAND, estimate_s=rng.uniform(0.5, 0.8))
        submission = Submission(f"{100 + number:016x}", PROMPT, "s", (step,))
        at = loop.now + number * every_s
        arrivals.append(Arrival(at, rng.randrange(n_cells), submission))
    context.pairs = [(None, loop.run(arrivals, 60.0))]


@then("at least {n:d} of 10 are in time")
def step_in_time(context, n):
    ((_, outcomes),) = context.pairs
    n_in_time = outcomes.count("in time")
    assert n_in_time >= n / 10 * len(outcomes.arrivals), n_in_time
