from contextlib import contextmanager

from behave import given, then
from cell_loop import CellLoop

from berylcleat.model import QueuePolicy, Step, Submission, TaskDemand
from berylcleat.ports import RunEnd
from berylcleat.scheduling import CellScheduler, _workers

WORKER = TaskDemand(32_000, 100_000)
LONG_RUNNING = Step(24, TaskDemand(32_000, 1000), is_long_running=True)
# Long enough for waiting fillers to count as starving.
WARM_UP_S = 3.0


class FullCellLoop(CellLoop):
    """One cell whose workers are full, with steps of fillers that wait."""

    def __init__(self, n_steps, n_tasks):
        super().__init__(1, 1.0, expected_finish=True)
        for number in range(LONG_RUNNING.n_tasks):
            self.add_worker(f"w{number}", "r1", WORKER)
        self.cells.append(self.make_scheduler("r1", 1))
        self.accept(0, self._make_submission(0, LONG_RUNNING))
        self.run_until(2.0)
        filler = Step(n_tasks, TaskDemand(2000, 1), 1.0, fills=True, image="press")
        for number in range(n_steps):
            self.accept(0, self._make_submission(number + 1, filler))
        self.run_until(2.0 + WARM_UP_S)

    @staticmethod
    def _make_submission(number, step):
        queue = QueuePolicy("q", "svc")
        return Submission(f"{number:016x}", queue, "s", (step,))

    def plan_run(self, task, worker_id):
        return 1e9, RunEnd.DONE

    def run_until(self, at):
        while self.now < at:
            self.tick()

    def count_in_round(self, owner, name):
        """Return how often a function is called in one planning round."""
        with _counted_calls(owner, name) as calls:
            self.cells[0].plan(self.now, self.now * 1000)
        return len(calls)


@contextmanager
def _counted_calls(owner, name):
    function = getattr(owner, name)
    calls = []

    def count(*arguments, **options):
        calls.append(name)
        return function(*arguments, **options)

    setattr(owner, name, count)
    try:
        yield calls
    finally:
        setattr(owner, name, function)


@given("a cell of 24 full workers where {n:d} steps of {n_tasks:d} tasks wait")
def step_full_cell(context, n, n_tasks):
    loop = FullCellLoop(n, n_tasks)
    waiting = tuple(loop.cells[0].submissions.iter_ready())
    assert len(waiting) == n, len(waiting)
    assert all(len(ready.waiting) == n_tasks for ready in waiting)
    context.full_cells = [*getattr(context, "full_cells", ()), loop]


@then("a planning round sums no run in either cell")
def step_no_sums(context):
    counts = [c.count_in_round(_workers, "_expected_cpu") for c in context.full_cells]
    assert counts == [0, 0], counts


@then("a planning round checks as many tasks in both cells")
def step_same_checks(context):
    counts = [
        loop.count_in_round(CellScheduler, "_explain_doubt")
        for loop in context.full_cells
    ]
    assert counts[0] == counts[1] > 0, counts


@then("a planning round computes the reserved share at most {n:d} time")
def step_share_once(context, n):
    (loop,) = context.full_cells
    count = loop.count_in_round(CellScheduler, "_reserved_share")
    assert count <= n, count
