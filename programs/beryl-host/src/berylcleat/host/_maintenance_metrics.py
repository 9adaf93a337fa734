"""Metrics of the maintenance waves that this host takes part in."""

from collections import Counter
from collections.abc import Iterable

from prometheus_client import Gauge

from berylcleat.scheduling import MachinePhase, WaveRecord

SLOT_PHASES = (MachinePhase.EMPTYING, MachinePhase.REQUESTED)
_waves_gauge = Gauge(
    "beryl_maintenance_waves",
    "Maintenance waves in progress, as far as this host owns cells",
)
_machines_gauge = Gauge(
    "beryl_machines_in_maintenance",
    "Machines in this host's cells that are emptied, or whose maintenance is requested",
    ("phase",),
)


def observe_waves(records: Iterable[WaveRecord | None], cell_ids: set[str]) -> None:
    """Publish the waves in progress and the machines of these cells that hold a slot.

    A wave whose record isn't known yet is None.
    """
    n_waves = 0
    n_machines: Counter[MachinePhase] = Counter()
    for record in records:
        n_waves += 1
        if record is not None:
            n_machines.update(
                machine.phase
                for machine in record.machine_by_id.values()
                if machine.cell_id in cell_ids
            )
    _waves_gauge.set(n_waves)
    for phase in SLOT_PHASES:
        _machines_gauge.labels(phase.value).set(n_machines[phase])
