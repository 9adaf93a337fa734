"""Entries of the workers in the store, kept by heartbeats that may not arrive."""

from collections.abc import Callable
from dataclasses import dataclass

HEARTBEAT_PERIOD_S = 1.5
# An entry is removed after this many heartbeat periods of silence.
MAX_SILENT_PERIODS = 3
# Entries that were removed while the store was closed are back within this time.
RETURN_SPREAD_S = 1.9


@dataclass(slots=True)
class _Registration:
    """State of one worker and what the store holds of it; times in seconds.

    ``last_heartbeat_at`` is set while the worker doesn't reach the store, ``due_at``
    while the worker is about to write its entry.
    """

    state: str
    is_written: bool = False
    last_heartbeat_at: float | None = None
    due_at: float | None = None


class WorkerEntries:
    """Entries of all workers; ``write`` and ``remove`` change the store's rows."""

    def __init__(
        self, write: Callable[[str, str], None], remove: Callable[[str], None]
    ):
        self._write = write
        self._remove = remove
        self._registration_by_worker: dict[str, _Registration] = {}

    def publish(self, worker_id: str, state: str) -> None:
        """Set a worker's state, and write its entry if the worker reaches the store."""
        registration = self._registration_by_worker.setdefault(
            worker_id, _Registration(state)
        )
        registration.state = state
        if registration.last_heartbeat_at is None:
            self._write_entry(worker_id, registration)

    def leave(self, worker_id: str) -> None:
        """End a worker's heartbeats; it removes its entry if it reaches the store."""
        registration = self._registration_by_worker[worker_id]
        registration.state = ""
        registration.due_at = None
        if registration.last_heartbeat_at is None:
            self._remove_entry(worker_id, registration)

    def cut_off(self, worker_id: str, now: float, heartbeat_age_s: float) -> None:
        """Lose a worker's heartbeats from now on.

        ``heartbeat_age_s`` is the time since the last one that arrived.
        """
        registration = self._registration_by_worker[worker_id]
        registration.last_heartbeat_at = now - heartbeat_age_s

    def reconnect(self, worker_id: str) -> None:
        """Let a worker reach the store again."""
        registration = self._registration_by_worker[worker_id]
        registration.last_heartbeat_at = None
        if registration.state:
            self._write_entry(worker_id, registration)
        else:
            self._remove_entry(worker_id, registration)

    def remove_all(self) -> None:
        """Remove all entries, as after a long outage of the store."""
        for worker_id, registration in self._registration_by_worker.items():
            self._remove_entry(worker_id, registration)

    def return_all(self, now: float) -> None:
        """Let the workers that live write their entries in ``RETURN_SPREAD_S``."""
        registrations = [
            registration
            for registration in self._registration_by_worker.values()
            if registration.state
        ]
        for number, registration in enumerate(registrations, start=1):
            registration.due_at = now + RETURN_SPREAD_S * number / len(registrations)

    def advance(self, now: float) -> None:
        """Remove the entries of silent workers and write those that are due."""
        for worker_id, registration in self._registration_by_worker.items():
            last_at = registration.last_heartbeat_at
            if last_at is not None:
                if now - last_at >= MAX_SILENT_PERIODS * HEARTBEAT_PERIOD_S:
                    self._remove_entry(worker_id, registration)
            elif registration.due_at is not None and registration.due_at <= now:
                self._write_entry(worker_id, registration)

    def _write_entry(self, worker_id: str, registration: _Registration) -> None:
        registration.due_at = None
        registration.is_written = True
        self._write(worker_id, registration.state)

    def _remove_entry(self, worker_id: str, registration: _Registration) -> None:
        if registration.is_written:
            registration.is_written = False
            self._remove(worker_id)
