"""Memory and descriptors of a process, read from /proc."""

from dataclasses import dataclass
from pathlib import Path

KIB = 1024
# State of an established connection, of one that the other side has closed, and of one
# that this side is closing, in /proc/net/tcp.
CONNECTED_STATES = ("01", "04", "05", "08")
PROC = Path("/proc")


@dataclass(frozen=True, slots=True)
class ProcessUsage:
    """Resident memory, its peak, unread received bytes and descriptors of a process."""

    resident_bytes: int
    peak_resident_bytes: int
    unread_bytes: int
    n_descriptors: int

    @property
    def counted_bytes(self) -> int:
        """Return what a machine's memory limit counts."""
        return self.resident_bytes + self.unread_bytes


def read_process_usage(pid: int, ports: frozenset[int]) -> ProcessUsage:
    """Return the usage of a process that alone listens on ``ports``."""
    folder = PROC / str(pid)
    status = {}
    for line in (folder / "status").read_text(encoding="ascii").splitlines():
        name, _, value = line.partition(":")
        status[name] = value.split()
    return ProcessUsage(
        int(status["VmRSS"][0]) * KIB,
        int(status["VmHWM"][0]) * KIB,
        _count_unread_bytes(ports),
        sum(1 for _ in (folder / "fd").iterdir()),
    )


def _count_unread_bytes(ports: frozenset[int]) -> int:
    """Return the unread bytes of the accepted connections of ``ports``."""
    unread = 0
    for line in (PROC / "net/tcp").read_text(encoding="ascii").splitlines()[1:]:
        fields = line.split()
        port = int(fields[1].rpartition(":")[2], 16)
        if port in ports and fields[3] in CONNECTED_STATES:
            unread += int(fields[4].rpartition(":")[2], 16)
    return unread
