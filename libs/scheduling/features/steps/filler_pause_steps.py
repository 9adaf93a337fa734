from behave import then, when
from filler_steps import SERVING, SingleWorkerCell, make_cell

from berylcleat.model import QueuePolicy, Step, Submission, TaskDemand
from berylcleat.ports import (
    EndedTask,
    PaceOrder,
    RunEnd,
    StartOrder,
    StopOrder,
)
from berylcleat.scheduling import PauseRules, Progress

RULES = PauseRules(0.9, 0.25)
STEP_S = 0.1
STOP_S = 0.6
WORK_S = 2.3
PERIOD_S = 4.0
HIGH_LOAD_S = 1.2
FILLER = Step(8, TaskDemand(3200, 1000), fills=True, saves_progress=True, image="press")


class PacedWorkerCell(SingleWorkerCell):
    """Worker whose fillers work at their pace and disturb while its load is high."""

    def __init__(self, cell, high_load_s):
        super().__init__(cell)
        self.high_load_s = high_load_s
        self.pace = {}
        self.left_s = {}
        self.stopping_until = {}
        self.paused_at = {}
        self.stopped_after_s = []
        self.over_target_s = 0.0
        self.work_s = 0.0

    def step(self):
        self._advance()
        self.now += STEP_S
        self.report()
        for item in self.cell.plan(self.now, 0.0):
            self._carry_out(item.order)

    def report(self):
        serving = {
            task: run for task, run in self.running.items() if self._serves(task)
        }
        fillers = self.running.keys() - serving.keys()
        is_high = self.now % PERIOD_S < self.high_load_s
        is_over = is_high and any(self.pace[task] for task in fillers)
        self.over_target_s += STEP_S * is_over
        self.reading = (1.6 if is_over else 0.5) * SERVING.target_latency_ms
        super().report()

    def _serves(self, task):
        return int(task.submission_id, 16) >= 100

    def _carry_out(self, order):
        if isinstance(order, StartOrder):
            self.running[order.task] = order.run
            self.pace[order.task] = 100
            self.left_s.setdefault(order.task, WORK_S)
        elif isinstance(order, PaceOrder) and order.task in self.running:
            self.pace[order.task] = order.percent
            if order.percent == 0:
                self.paused_at.setdefault(order.task, self.now)
            else:
                self.paused_at.pop(order.task, None)
        elif isinstance(order, StopOrder) and order.task in self.running:
            self.stopping_until.setdefault(order.task, self.now + STOP_S)
            if order.task in self.paused_at:
                self.stopped_after_s.append(self.now - self.paused_at[order.task])

    def _advance(self):
        for task, run in tuple(self.running.items()):
            if self._serves(task):
                continue
            work_s = STEP_S * self.pace[task] / 100
            if task in self.stopping_until:
                if self.now >= self.stopping_until[task]:
                    self._end(task, run, RunEnd.STOPPED)
                continue
            self.work_s += work_s
            self.left_s[task] -= work_s
            if self.left_s[task] <= 0:
                self._end(task, run, RunEnd.DONE)

    def _end(self, task, run, how):
        del self.running[task]
        self.stopping_until.pop(task, None)
        self.paused_at.pop(task, None)
        self.n_ended += 1
        self.ended.append(EndedTask(self.n_ended, task, run, how, "c"))


def run_load(context, seconds, rules, high_load_s=HIGH_LOAD_S):
    make_cell(context, 4, "web", "press", log_odds=-0.5)
    worker = PacedWorkerCell(context.worker.cell, high_load_s)
    worker.running = context.worker.running
    worker.now = context.worker.now
    worker.cell.pause_rules = rules
    for number in range(8):
        submission = Submission(
            f"{number + 1:016x}", QueuePolicy("q", "svc"), "s", (FILLER,)
        )
        worker.cell.add_submission(
            submission, Progress(), worker.now, worker.now, inherited=False
        )
    while worker.now < seconds:
        worker.step()
    return worker


@when("8 fillers of 2.3 s each fill a worker for 30 s, with stops and with pauses")
def step_compare(context):
    context.with_stops = run_load(context, 30.0, None)
    context.with_pauses = run_load(context, 30.0, RULES)


@then("the fillers get at least a quarter more work done with pauses")
def step_more_work(context):
    works = (context.with_pauses.work_s, context.with_stops.work_s)
    assert works[0] >= 1.25 * works[1], works


@then("the serving tasks are over their target for no longer with pauses")
def step_no_longer_over(context):
    over = (context.with_pauses.over_target_s, context.with_stops.over_target_s)
    assert over[0] <= over[1], over


@when("the own load stays high for 10 s beside paused fillers")
def step_stays_high(context):
    context.worker = run_load(context, 10.0, RULES, high_load_s=PERIOD_S)


@then("every filler is stopped within 1.5 s of its pause")
def step_stopped(context):
    stopped_after_s = context.worker.stopped_after_s
    assert stopped_after_s, "no filler was stopped after a pause"
    assert max(stopped_after_s) <= 1.6, stopped_after_s


@then("pauses with stops of {stop:f} s and resumptions of {restore:f} s are {state}")
def step_enabled(context, stop, restore, state):
    assert PauseRules(stop, restore).is_enabled == (state == "on")
