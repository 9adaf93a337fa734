import msgspec
from behave import given, then, when

from berylcleat.host._identity import HostIdentity
from berylcleat.host._pair_exchange import PairExchange
from berylcleat.host._records import DIGEST_TABLE, PairsRow
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


PAIR = ("press", "web")


def learn(context, log_odds):
    context.interference.learned_log_odds()[PAIR] = log_odds


@when("it learns a pair and the write fails")
def step_failed_write(context):
    learn(context, 3.0)
    assert context.pairs.due_writes(0.0)


@when("the next write, without a sum, is stored")
def step_next_write(context):
    writes = context.pairs.due_writes(0.2)
    assert not any(write.table == DIGEST_TABLE for write in writes), writes
    context.pairs.on_written()


@then("the sum is among the rows due {seconds:d} s later")
def step_sum_due(context, seconds):
    writes = context.pairs.due_writes(float(seconds))
    assert any(write.table == DIGEST_TABLE for write in writes), writes


@when("it has published a pair and then unlearnt it")
def step_unlearnt(context):
    learn(context, 3.0)
    context.pairs.due_writes(0.0)
    context.pairs.on_written()
    learn(context, 0.0)


@then("the pair is among the rows due {seconds:d} s later with log odds {log_odds:d}")
def step_pair_due(context, seconds, log_odds):
    writes = context.pairs.due_writes(float(seconds))
    rows = [w for w in writes if w.table != DIGEST_TABLE]
    pairs = [p for w in rows for p in msgspec.json.decode(w.value, type=PairsRow).pairs]
    found = {(pair.filler, pair.serving): pair.log_odds for pair in pairs}
    assert found == {PAIR: log_odds}, found
