import asyncio
import json
import time
from collections import Counter
from contextlib import asynccontextmanager

from behave import given, then, when

from berylcleat.host._clock import now_s
from berylcleat.host._operator_follower import OperatorFollower
from berylcleat.host._operator_state import OperatorState
from berylcleat.model import OutcomeUnknownError
from berylcleat.platform import evacuation_key
from berylcleat.ports import CommitOutcome
from berylcleat.scheduling import EvacuationRules
from berylcleat.standins import MemoryStore

LINK_BYTES_PER_S = 100_000
RULES = EvacuationRules(5.0, 6.0)
WAIT_S = 1.0


class FollowedStore:
    """Store behind a slow link, with counted calls and answers that can be lost."""

    def __init__(self, store):
        self._store = store
        self.call_counts = Counter()
        self.loses_request_answer = False
        self.returns_only_differences = False
        self.is_unreachable = False
        self.call_s = 0.0
        self.n_configs = 0

    async def read(self, *arguments):
        self._begin("read")
        page = await self._store.read(*arguments)
        await self._deliver(page.rows)
        return page

    async def follow(self, table, after, wait_s):
        self._begin("follow")
        deadline = time.monotonic() + wait_s
        page = await self._store.follow(table, after, 0.0)
        while not page.rows and time.monotonic() < deadline:
            self._check_reachable()
            page = await self._store.follow(table, after, 0.0)
        await self._deliver(page.rows)
        return page

    async def commit(self, commit):
        self._begin("commit")
        outcome = await self._store.commit(commit)
        rows = outcome.current
        if self.returns_only_differences:
            version_by_key = {c.key: c.version for c in commit.conditions}
            rows = tuple(r for r in rows if r.version != version_by_key[r.key])
        await self._deliver(rows)
        return CommitOutcome(outcome.applied, outcome.version, rows)

    def _begin(self, name):
        self.call_counts[name] += 1
        self._check_reachable()

    def _check_reachable(self):
        if self.is_unreachable:
            raise OutcomeUnknownError("store: no answer", "Try again")

    async def _deliver(self, rows):
        n_bytes = sum(len(row.value) for row in rows)
        await asyncio.sleep(max(self.call_s, n_bytes / LINK_BYTES_PER_S))
        self.n_configs += any(row.key == "config" for row in rows)
        if self.loses_request_answer and any("evacuate/" in row.key for row in rows):
            self.loses_request_answer = False
            raise OutcomeUnknownError("store: no answer", "Try again")


class FollowingHost:
    """Follower of one host, its state, and when it learned of each change."""

    def __init__(self, store, names, *, follows_waves=False):
        self.state = OperatorState(RULES)
        self.link = FollowedStore(store)
        self.names = names
        self.changes = []
        self.max_confirmation_lead_s = 0.0
        self.follower = OperatorFollower(
            self.link,
            self.state.on_config,
            self._on_requests,
            (lambda: self.names) if names else None,
            wait_s=WAIT_S,
            min_period_s=0.1,
            on_waves=self._on_waves if follows_waves else None,
        )
        self.wave_changes = []

    def _on_waves(self, rows):
        self.state.on_waves(rows)
        self.wave_changes.append((time.monotonic(), sorted(self.state.wave_by_id)))

    def _on_requests(self, evacuated, version, confirmed_at):
        self.state.on_requests(evacuated, version, confirmed_at)
        lead_s = confirmed_at - now_s()
        self.max_confirmation_lead_s = max(self.max_confirmation_lead_s, lead_s)
        self.changes.append((time.monotonic(), evacuated))

    @asynccontextmanager
    async def following(self):
        task = asyncio.create_task(self.follower.run())
        try:
            await asyncio.sleep(0.3)
            yield self
        finally:
            task.cancel()

    async def delay_of(self, name, is_evacuated, since, limit_s):
        """Return how long after ``since`` the host knew, at most ``limit_s``."""
        while time.monotonic() < since + limit_s:
            if (name in self.state.evacuated) == is_evacuated:
                return time.monotonic() - since
            await asyncio.sleep(0.01)
        return float("inf")


def put_config(context, version):
    body = {"version": version, "routes": [], "services": []}
    text = json.dumps(body).ljust(context.n_config_bytes)
    context.store.put("op", "", "config", text.encode())
    context.config_version = version


def set_evacuated(context, name, is_evacuated):
    if is_evacuated:
        context.store.put("op", "", evacuation_key(name), b"{}")
    else:
        context.store.remove("op", "", evacuation_key(name))


def make_store(context, seconds=0.0):
    context.store = MemoryStore()
    context.n_config_bytes = int(seconds * LINK_BYTES_PER_S)
    context.only_differences = False
    context.call_s = 0.0
    context.n_configs = []
    put_config(context, 1)


async def run_storm(context, period_s, seconds, change=None, change_at=0.0):
    """Change the configuration periodically; call ``change`` once in between."""
    started_at = time.monotonic()
    while time.monotonic() < started_at + seconds:
        await asyncio.sleep(period_s)
        put_config(context, context.config_version + 1)
        if change and time.monotonic() >= started_at + change_at:
            change()
            change = None


@given("a configuration that takes {seconds:f} s to arrive over the link of a host")
def step_config(context, seconds):
    make_store(context, seconds)


@when(
    'it changes every {period:f} s for {seconds:f} s and "{name}" is {change} '
    "{start:f} s after its start"
)
def step_storm(context, period, seconds, name, change, start):
    is_evacuated = change == "evacuated"
    set_evacuated(context, name, True)
    if is_evacuated:
        set_evacuated(context, name, False)
    context.host = FollowingHost(context.store, ("dc-1", "dc-2", "dc-3"))

    def make_change():
        set_evacuated(context, name, is_evacuated)
        context.changed_at = time.monotonic()

    async def run():
        async with context.host.following() as host:
            await run_storm(context, period, seconds, make_change, start)
            await asyncio.sleep(1.0)
            context.newest_config = host.state.config_version

    context.run(run())


@then('the host knows within {seconds:f} s that "{name}" is {state}')
def step_knows(context, seconds, name, state):
    is_evacuated = state == "evacuated"
    times = [
        at
        for at, evacuated in context.host.changes
        if at >= context.changed_at and (name in evacuated) == is_evacuated
    ]
    assert times, context.host.changes[-3:]
    assert times[0] - context.changed_at <= seconds, times[0] - context.changed_at
    assert (name in context.host.changes[-1][1]) == is_evacuated


@then("the host has the newest configuration")
def step_newest_config(context):
    assert context.newest_config == context.config_version, context.newest_config


@then("no confirmation was newer than the read that it came with")
def step_confirmations(context):
    assert context.host.max_confirmation_lead_s <= 0.0


@when(
    "it changes every {period:f} s for {seconds:f} s and a host without evacuations "
    "follows it"
)
def step_storm_without(context, period, seconds):
    context.storm = (period, seconds)
    context.counts = [count_calls(context, None)]


@when("the same changes are followed by a host with evacuations")
def step_storm_with(context):
    set_evacuated(context, "dc-2", True)
    context.counts.append(count_calls(context, ("dc-1", "dc-2", "dc-3")))


@when("the same changes are followed by a host with maintenance waves, and no wave")
def step_storm_with_waves(context):
    context.counts.append(count_calls(context, None, follows_waves=True))


def count_calls(context, names, *, follows_waves=False):
    host = FollowingHost(context.store, names, follows_waves=follows_waves)
    host.link.call_s = context.call_s

    async def run():
        async with host.following():
            await run_storm(context, *context.storm)
            await asyncio.sleep(1.0)

    context.run(run())
    context.n_configs.append(host.link.n_configs)
    return host.link.call_counts


@then("both hosts made about as many calls and none listed or read more than once")
def step_call_counts(context):
    before, after = context.counts
    assert before["read"] == after["read"] == 1, context.counts
    # The two storms aren't in phase with the followers' periods.
    assert after.total() <= before.total() + 3, context.counts


@given("each call over the link takes {seconds:f} s")
def step_call_time(context, seconds):
    context.call_s = seconds


@then("both hosts made about as many calls and learned as many configurations")
def step_same_news(context):
    before, after = context.counts
    counts = (context.counts, context.n_configs)
    assert abs(after.total() - before.total()) <= 3, counts
    assert abs(context.n_configs[1] - context.n_configs[0]) <= 3, counts


@given("a store whose conflicts return only the rows that differ")
def step_only_differences(context):
    make_store(context)
    context.only_differences = True


@given("a host that follows the operator's table")
def step_host(context):
    if "store" not in context:
        make_store(context)
    context.host = FollowingHost(context.store, ("dc-1", "dc-2", "dc-3"))
    context.host.link.returns_only_differences = context.only_differences
    context.follow = context.host.following


@given('"{name}" and "{other}" are evacuated')
def step_two_evacuated(context, name, other):
    set_evacuated(context, name, True)
    set_evacuated(context, other, True)


@when('the next answer that holds a request is lost and "{name}" is evacuated')
def step_lost_answer(context, name):
    async def run():
        async with context.host.following() as host:
            host.link.loses_request_answer = True
            set_evacuated(context, name, True)
            context.changed_at = time.monotonic()
            await asyncio.sleep(1.0)
            assert not host.link.loses_request_answer

    context.run(run())


def change_in_outage(context, name, *, forgets):
    async def run():
        async with context.host.following() as host:
            assert host.state.evacuated == {"dc-2", "dc-3"}, host.state.evacuated
            host.link.is_unreachable = True
            await asyncio.sleep(0.3)
            set_evacuated(context, name, False)
            if forgets:
                context.store.forget_history()
            host.link.is_unreachable = False
            context.changed_at = time.monotonic()
            await asyncio.sleep(1.0)

    context.run(run())


@when('"{name}" is returned during an outage and the store drops its history')
def step_return_and_forget(context, name):
    change_in_outage(context, name, forgets=True)


@when('"{name}" is returned during an outage')
def step_return(context, name):
    change_in_outage(context, name, forgets=False)


@when("the configuration changes {n:d} times, every {seconds:f} s")
def step_changes(context, n, seconds):
    async def run():
        async with context.host.following():
            for _ in range(n):
                await run_storm(context, seconds, seconds)
            await asyncio.sleep(0.5)

    context.run(run())


@then('"{name}" was evacuated all the time')
def step_always_evacuated(context, name):
    assert all(name in evacuated for _, evacuated in context.host.changes)
    assert context.host.state.config_version == context.config_version


@when('"{name}", unknown to the host, is evacuated just before a version check')
def step_unknown_evacuated(context, name):
    async def evacuate():
        context.store.before_commit = None
        set_evacuated(context, name, True)

    async def run():
        async with context.host.following() as host:
            context.store.before_commit = evacuate
            put_config(context, 2)
            await asyncio.sleep(0.5)
            assert name not in host.state.evacuated
            host.names = (*host.names, name)
            context.changed_at = time.monotonic()
            # The long poll in progress ends before the rows are read again.
            await asyncio.sleep(WAIT_S + 0.5)

    context.run(run())


@when('the host learns that there is a data centre "{name}"')
def step_learns_name(context, name):
    assert name in context.host.names


@when('the operator writes the rows "{keys}"')
def step_other_rows(context, keys):
    for key in keys.split():
        context.store.put("op", "", key, b"{}")

    async def run():
        async with context.host.following():
            put_config(context, 2)
            await asyncio.sleep(0.5)

    context.run(run())


@then("the host knows of no evacuation")
def step_no_evacuation(context):
    assert not context.host.state.evacuated
    assert context.host.state.config_version == 2


@when("the store is out of reach for {seconds:f} s")
def step_unreachable(context, seconds):
    async def run():
        async with context.host.following() as host:
            host.link.is_unreachable = True
            await asyncio.sleep(seconds)
            context.age_s = now_s() - host.state.confirmed_at

    context.run(run())


@then("the host's confirmation is at least {seconds:f} s old")
def step_confirmation_age(context, seconds):
    assert context.age_s >= seconds, context.age_s


@when(
    "it changes every {period:f} s for {seconds:f} s while {names} waves are written "
    "and removed"
)
def step_wave_storm(context, period, seconds, names):
    data_centres = ("dc-1",) if names == "evacuations and" else None
    context.host = FollowingHost(context.store, data_centres, follows_waves=True)
    context.wave_writes = []

    def put_wave(wave_id, *, is_malformed=False):
        body = {"wave": wave_id, "machines": ["m"], "completeByS": 9, "maxCount": 1}
        text = "[not json" if is_malformed else json.dumps(body)
        context.store.put("op", "", f"wave/{wave_id}", text.encode())

    def change(number):
        # The numbers of waves need not follow each other.
        put_wave(7 * number)
        put_wave(7 * number + 1, is_malformed=True)
        if number > 1:
            context.store.remove("op", "", f"wave/{7 * (number - 1)}")
        context.wave_writes.append((time.monotonic(), [7 * number]))

    async def run():
        async with context.host.following():
            for number in range(1, 5):
                at_s = seconds / 8
                await run_storm(
                    context, period, seconds / 4, lambda n=number: change(n), at_s
                )
            await asyncio.sleep(1.0)

    context.run(run())


@then("the host knew of each wave, and of its removal, within {seconds:f} s")
def step_knew_waves(context, seconds):
    for written_at, expected in context.wave_writes:
        known_at = next(
            (at for at, ids in context.host.wave_changes if ids == expected),
            float("inf"),
        )
        assert known_at - written_at <= seconds, (expected, context.host.wave_changes)
    assert context.host.wave_changes[-1][1] == context.wave_writes[-1][1]
    assert context.host.state.config_version == context.config_version
