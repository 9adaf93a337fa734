"""Start the fleet that a scenario needs, and stop it after the scenario."""

import asyncio
import shutil
import tempfile
from pathlib import Path

from berylcleat.standins import Fleet, FleetPlan, read_history

SHORT_LEASES = {
    "worker_lease_s": 2.0,
    "host_lapse_s": 1.5,
    "renewal_limit_s": 60.0,
}
SHORT_PLANNER_PERIODS = {
    "leases": SHORT_LEASES,
    "beat_period_s": 0.3,
    "exchange_period_s": 0.4,
    "feed_period_s": 0.2,
    "commit_period_s": 0.1,
    "renew_check_s": 0.2,
    "return_after_s": 3.0,
    "list_period_s": 0.3,
}
SHORT_ENTRY_PERIODS = {
    "list_period_s": 0.3,
    "config_period_s": 0.3,
    "drain_delay_s": 0.3,
}


def before_all(context):
    context.loop = asyncio.new_event_loop()
    context.run = context.loop.run_until_complete


def before_feature(context, feature):
    context.fleet = None


def after_scenario(context, scenario):
    if context.fleet:
        if scenario.status != "passed":
            print(f"logs of failed scenario {scenario.name}: {context.fleet.folder}")
        context.fleet.stop()
        if scenario.status == "passed":
            shutil.rmtree(context.fleet.folder, ignore_errors=True)
        context.fleet = None


def after_all(context):
    context.loop.close()


def start_fleet(context, **plan):
    """Start a small fleet with short leases; ``plan`` overrides fields of its plan."""
    defaults = {
        "data_centres": ("dc-1",),
        "n_hosts": 2,
        "n_workers_per_rack": 4,
        "planner": SHORT_PLANNER_PERIODS,
        "entry": SHORT_ENTRY_PERIODS,
        "list_lag_s": 0.5,
    }
    folder = Path(tempfile.mkdtemp(prefix="beryl-"))
    context.fleet = Fleet(FleetPlan(**{**defaults, **plan}), folder)
    context.fleet.start()
    context.run(context.fleet.wait_ready())


def read_fleet_history(context):
    """Return the events of all racks' histories."""
    return [e for path in context.fleet.history_paths() for e in read_history(path)]
