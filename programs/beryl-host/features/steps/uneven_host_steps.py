from behave import given, then, when
from prometheus_client import REGISTRY

from berylcleat.host._cell_summary import make_summary
from berylcleat.host._clock import now_s
from berylcleat.host._settings import HostSettings, apply_contracts
from berylcleat.host._uneven_metrics import (
    ignore_uneven_workers,
    observe_uneven_workers,
)
from berylcleat.model import SettingsError, TaskDemand, parse_document
from berylcleat.ports import WorkerEntry
from berylcleat.scheduling import (
    CellScheduler,
    InterferenceModel,
    LeaseTimes,
    UnevenWorkers,
    WorkerCondition,
)

REQUIRED = (
    "host_id",
    "data_centre",
    "front_address",
    "ready_address",
    "peer_address",
    "metrics_address",
    "store_address",
)
CELL = "uneven-cell"


@given("the settings of a host with {text}")
def step_settings(context, text):
    fields = [f'"{name}": "x"' for name in REQUIRED]
    if text != "nothing else":
        fields.append(text)
    document = "{" + ", ".join(fields) + "}"
    context.settings = parse_document(
        document, HostSettings, source="test", error_type=SettingsError
    )


@then("it learns uneven workers: {switch}")
def step_switch(context, switch):
    assert apply_contracts(context.settings).uneven_workers == (switch == "yes")


@then("it uses the machine service: {use}")
def step_machine_service(context, use):
    address = apply_contracts(context.settings).machine_service_address
    assert bool(address) == (use == "yes"), address


@given(
    "a cell of two workers of 8000 millicores, of which one runs 4 times as long",
)
def step_cell(context):
    times = LeaseTimes(worker_lease_s=5.0, max_lease_s=6.0, owner_limit_s=12.0)
    cell = CellScheduler(CELL, 1, times, 0.0, 0.0, (), InterferenceModel())
    cell.uneven_workers = UnevenWorkers()
    for worker_id in ("w0", "w1"):
        entry = WorkerEntry(
            worker_id, "svc", "a:1", "dc", "k", "r1", frozenset(), TaskDemand(8000), 1
        )
        cell.list_worker(entry, 0.0)
        cell.worker_by_id[worker_id].has_seen_epoch = True
        cell.worker_by_id[worker_id].clock.answered_at = float("inf")
    cell.worker_by_id["w1"].condition = WorkerCondition(slowdown=4.0)
    context.cell = cell
    observe_uneven_workers(cell)


@then("its summary has {total:d} millicores, {first:d} and {second:d} of them free")
def step_summary(context, total, first, second):
    summary = make_summary(context.cell, "dc", now_s())
    assert summary.cpu_capacity == total, summary
    assert summary.free_by_worker == (first, second), summary


@then("the metrics tell of {n:d} workers on probation")
def step_metrics(context, n):
    name = "beryl_host_workers_on_probation"
    assert REGISTRY.get_sample_value(name, {"cell": CELL}) == n


@when("the host releases the cell")
def step_release(context):
    ignore_uneven_workers(context.cell)


@then("the metrics don't name the cell")
def step_no_metrics(context):
    for name in ("beryl_host_slow_workers", "beryl_host_workers_on_probation"):
        assert REGISTRY.get_sample_value(name, {"cell": CELL}) is None
