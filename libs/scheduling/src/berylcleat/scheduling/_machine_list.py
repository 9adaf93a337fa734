"""List of the machine service: which machines are up, in maintenance or gone."""

from collections.abc import Iterable
from typing import TypeVar

from berylcleat.ports import Machine, MachineState

# Seconds for which a machine isn't listed until it counts as gone.
MACHINE_GONE_S = 10.0
# Seconds for which a host remembers that a maintenance has begun.
EVIDENCE_MEMORY_S = 600.0
SEVERAL_WAVES = -1
Key = TypeVar("Key")


class MachineList:
    """Machines as the complete reads of the machine service's list show them.

    Times are seconds on the host's monotonic clock. One list serves all waves and cells
    of a host; it is empty before the first read.
    """

    def __init__(self):
        self.by_id: dict[str, Machine] = {}
        self.read_sent_at = float("-inf")
        self._first_read_at = float("-inf")
        self._missing_since_by_id: dict[str, float] = {}
        self._maintained_at_by_worker: dict[str, float] = {}
        self._confirmed_at_by_call: dict[tuple[int, str, str], float] = {}
        # Wave that has requested the maintenance of a worker, or ``SEVERAL_WAVES``, and
        # when its record was last seen.
        self._wave_by_requested_worker: dict[str, int] = {}
        self._requested_at_by_worker: dict[str, float] = {}

    def observe(self, machines: Iterable[Machine], sent_at: float) -> None:
        """Apply a complete read of all pages, sent at ``sent_at``.

        A read sent before the newest one is ignored.
        """
        if sent_at < self.read_sent_at:
            return
        if sent_at - self.read_sent_at > MACHINE_GONE_S:
            self._first_read_at = sent_at
            self._missing_since_by_id.clear()
        self.read_sent_at = sent_at
        known, self.by_id = self.by_id, {m.machine_id: m for m in machines}
        for machine_id in known.keys() - self.by_id.keys():
            self._missing_since_by_id[machine_id] = sent_at
        for machine_id, machine in self.by_id.items():
            self._missing_since_by_id.pop(machine_id, None)
            previous = known.get(machine_id)
            if machine.state is MachineState.MAINTENANCE and previous is not None:
                self._observe_maintenance(previous)
        self._maintained_at_by_worker = _drop_old(
            self._maintained_at_by_worker, sent_at
        )
        self._confirmed_at_by_call = _drop_old(self._confirmed_at_by_call, sent_at)
        self._requested_at_by_worker = _drop_old(self._requested_at_by_worker, sent_at)
        self._wave_by_requested_worker = {
            worker_id: self._wave_by_requested_worker[worker_id]
            for worker_id in self._requested_at_by_worker
        }

    def on_requested(self, wave_id: int, worker_ids: Iterable[str], now: float) -> None:
        """Take note of the workers whose maintenance a wave's record has requested.

        If two waves have requested that of one worker, the list doesn't tell which of
        the calls was executed.
        """
        for worker_id in worker_ids:
            known = self._wave_by_requested_worker.setdefault(worker_id, wave_id)
            if known != wave_id:
                self._wave_by_requested_worker[worker_id] = SEVERAL_WAVES
            self._requested_at_by_worker[worker_id] = now

    def on_maintenance_begun(
        self, wave_id: int, machine_id: str, worker_id: str, now: float
    ) -> None:
        """Take note that the service confirmed (200) the maintenance of a machine.

        ``worker_id`` is the worker in the machine's record.
        """
        self._confirmed_at_by_call.setdefault((wave_id, machine_id, worker_id), now)

    def begun_at(self, wave_id: int, machine_id: str, worker_id: str) -> float | None:
        """Return when the maintenance was first known to have begun, None if it isn't.

        It is known by the service's answer, or because a read shows the machine of
        ``worker_id`` in maintenance and no other wave has requested that.
        """
        confirmed_at = self._confirmed_at_by_call.get((wave_id, machine_id, worker_id))
        if confirmed_at is not None:
            return confirmed_at
        if self._wave_by_requested_worker.get(worker_id, wave_id) != wave_id:
            return None
        return self._maintained_at_by_worker.get(worker_id)

    def missing_s(self, machine_id: str, now: float) -> float:
        """Return for how long the reads have lacked a machine, 0 if nothing is known.

        Only the time between two reads counts: an outage of the service says nothing.
        """
        if machine_id in self.by_id or now - self.read_sent_at > MACHINE_GONE_S:
            return 0.0
        since = self._missing_since_by_id.get(machine_id, self._first_read_at)
        return self.read_sent_at - since

    def _observe_maintenance(self, previous: Machine) -> None:
        """Take note that the last worker that was up has ended for maintenance.

        The id listed during the maintenance may be that of the next worker.
        """
        if previous.state is MachineState.UP and previous.worker_id:
            self._maintained_at_by_worker[previous.worker_id] = self.read_sent_at


def _drop_old(time_by_key: dict[Key, float], now: float) -> dict[Key, float]:
    return {key: at for key, at in time_by_key.items() if now - at < EVIDENCE_MEMORY_S}
