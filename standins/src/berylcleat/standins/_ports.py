"""Loopback ports that no other process of the tests uses.

Processes lock blocks of ports, so that tests of several features, or of several
checkouts, can run beside each other on one machine.
"""

import fcntl
import itertools
import os
import socket
import tempfile
from collections.abc import Iterator
from pathlib import Path

LOOPBACK = "127.0.0.1"
# Below the system's ephemeral range: no outgoing connection takes one of these ports
# before its process binds it.
FIRST_PORT = 12_000
N_BLOCKS = 180
PORTS_PER_BLOCK = 100
# Descriptors of the lock files; the system releases them when this process ends.
_lock_descriptors: list[int] = []


def find_free_ports(n_ports: int) -> list[int]:
    """Return ports that are currently free on loopback.

    Raises ``OSError`` if all blocks are locked by other processes.
    """
    free_ports = (port for port in _owned_ports if _is_free(port))
    found = list(itertools.islice(free_ports, n_ports))
    if len(found) < n_ports:
        raise OSError("all blocks of ports are locked: run fewer tests at a time")
    return found


def _generate_owned_ports() -> Iterator[int]:
    """Lock one block after the other and yield its ports."""
    first_block = os.getpid() % N_BLOCKS
    for number in itertools.count(first_block):
        block = number % N_BLOCKS
        if _lock_block(block):
            first_port = FIRST_PORT + block * PORTS_PER_BLOCK
            yield from range(first_port, first_port + PORTS_PER_BLOCK)
        elif number >= first_block + N_BLOCKS:
            return


_owned_ports = _generate_owned_ports()


def _lock_block(block: int) -> bool:
    path = Path(tempfile.gettempdir()) / f"berylcleat-ports-{block}.lock"
    descriptor = os.open(path, os.O_RDWR | os.O_CREAT, 0o666)
    try:
        fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except BlockingIOError:
        os.close(descriptor)
        return False
    _lock_descriptors.append(descriptor)
    return True


def _is_free(port: int) -> bool:
    with socket.socket() as probe_socket:
        probe_socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe_socket.bind((LOOPBACK, port))
        except OSError:
            return False
    return True
