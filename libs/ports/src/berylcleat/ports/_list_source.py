"""Local copy of the platform's list of hosts and workers."""

from ._base import HostList, ListedHost, ListedWorker


class ListSource:
    """Hosts and workers by id, updated incrementally from the platform's list."""

    def __init__(self, host_list: HostList):
        self._host_list = host_list
        self._version = 0
        self.host_by_id: dict[str, ListedHost] = {}
        self.worker_by_id: dict[str, ListedWorker] = {}

    async def refresh(self) -> bool:
        """Fetch and apply the changes since the last call; return whether any came."""
        changes = await self._host_list.list_changes(self._version)
        self._version = max(self._version, changes.version)
        for host in changes.hosts:
            self.host_by_id[host.host_id] = host
        for worker in changes.workers:
            self.worker_by_id[worker.spec.worker_id] = worker
        return bool(changes.hosts or changes.workers)
