from behave import then, when
from size_simulation import N_SECONDS, simulate

SUBMISSION_PREFIX = "cell-submissions-"


@when("the store serves {first:d} and {second:d} hosts")
def step_simulate(context, first, second):
    context.hosts_by_n = {n: simulate(n) for n in (first, second)}


def mean_rate(context, n, name):
    hosts = context.hosts_by_n[n]
    return sum(getattr(h.store.traffic, name) for h in hosts) / len(hosts) / N_SECONDS


def submission_bytes(host):
    """Return the bytes that a host read of the submissions of cells."""
    return sum(
        n_bytes
        for table, n_bytes in host.store.traffic.read_by_table.items()
        if table.startswith(SUBMISSION_PREFIX)
    )


@then(
    "the calls a host and second at {n:d} hosts are at most {times:d} times those at 30"
)
def step_calls(context, n, times):
    calls = mean_rate(context, n, "n_calls")
    assert calls <= times * mean_rate(context, 30, "n_calls"), calls


@then(
    "the bytes a host and second at {n:d} hosts are at most {times:d} times those at 30"
)
def step_bytes(context, n, times):
    found, base = (mean_rate(context, count, "n_bytes") for count in (n, 30))
    assert found <= times * base, (found, base)


@then("the bytes a host and second at {n:d} hosts are at most {limit:d}")
def step_byte_limit(context, n, limit):
    found = mean_rate(context, n, "n_bytes")
    assert found <= limit, found


@then(
    "an owner's bytes of submissions at {n:d} hosts are at most {times:d} times "
    "those at 30"
)
def step_submission_bytes(context, n, times):
    def mean(count):
        owners = [h for h in context.hosts_by_n[count] if h.controller_by_cell]
        return sum(map(submission_bytes, owners)) / len(owners)

    assert mean(n) <= times * mean(30), (mean(n), mean(30))


@then("a host without cells reads no submission")
def step_no_submissions(context):
    for hosts in context.hosts_by_n.values():
        assert not any(submission_bytes(h) for h in hosts if not h.controller_by_cell)
