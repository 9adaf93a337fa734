"""Order in which a host asks others for what it can't get from the store."""

from collections.abc import Iterable

import xxhash

from ._cell_directory import CellDirectory
from ._identity import HostIdentity
from ._records import HostRow


def order_peers(
    identity: HostIdentity, live_hosts: dict[str, HostRow], cells: CellDirectory
) -> tuple[list[str], list[str]]:
    """Return the addresses of hosts here and of owners in other data centres.

    Every host has an order of its own, so that they don't all ask the same one.
    """
    local = {
        host.peer_address
        for host_id, host in live_hosts.items()
        if host_id != identity.host_id
    }
    remote = {
        owner.row.peer_address
        for owner in cells.owner_by_cell.values()
        if owner.row.host_id and owner.row.data_centre != identity.data_centre
    }
    local -= {identity.peer_address, ""}
    remote -= {identity.peer_address, "", *local}
    return _order(local, identity), _order(remote, identity)


def _order(addresses: Iterable[str], identity: HostIdentity) -> list[str]:
    def rank(address: str) -> int:
        return xxhash.xxh64_intdigest(f"{identity.host_id}/{address}".encode())

    return sorted(addresses, key=rank)
