from behave import given, then, when

from berylcleat.host._identity import HostIdentity
from berylcleat.host._pair_exchange import PairExchange
from berylcleat.host._records import DIGEST_TABLE
from berylcleat.scheduling import InterferenceModel


@given("the first host of a data centre in a system of {n:d} cells")
def step_host(context, n):
    identity = HostIdentity("host-1", "dc-1", "aa", "127.0.0.1:9")
    context.interference = InterferenceModel()
    context.pairs = PairExchange(identity, context.interference, lambda: 0, lambda: n)


@when("it learns something new every second for {seconds:d} s")
def step_learn(context, seconds):
    context.sums = []
    for now in range(seconds):
        context.interference.learned_log_odds()["press", f"web-{now}"] = 3.0
        writes = context.pairs.due_writes(float(now))
        context.sums += [write for write in writes if write.table == DIGEST_TABLE]
        context.pairs.on_written()


@then("its data centre's sum was written {n:d} times")
def step_written(context, n):
    assert len(context.sums) == n, len(context.sums)
