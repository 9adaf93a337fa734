"""Followers of the submission tables of the cells that this host owns."""

import asyncio

from berylcleat.ports import Store
from berylcleat.runtime import keep_running

from ._follower import TableFollower
from ._records import SUBMISSION_PARTS, cell_submission_table
from ._submission_directory import SubmissionDirectory

POLL_PERIOD_S = 0.4


class SubmissionFeeds:
    """Followers by table; a table is followed while a cell of it is owned here."""

    def __init__(self, store: Store, directory: SubmissionDirectory, wait_s: float):
        self._store = store
        self._directory = directory
        self._wait_s = wait_s
        self._follower_by_table: dict[str, TableFollower] = {}
        self._task_by_table: dict[str, asyncio.Task] = {}

    async def open(self, cell_id: str, version: int) -> None:
        """Follow a cell's submissions; return once all up to ``version`` are known.

        Raises ``BerylError`` if the store can't be read.
        """
        table = cell_submission_table(cell_id)
        follower = self._follower_by_table.get(table)
        if follower is not None:
            await follower.refresh(version)
            return
        follower = TableFollower(
            self._store,
            table,
            self._directory.on_rows,
            wait_s=self._wait_s,
            min_period_s=POLL_PERIOD_S,
            parts=SUBMISSION_PARTS,
        )
        await follower.sync()
        self._follower_by_table[table] = follower
        loop = asyncio.get_running_loop()
        self._task_by_table[table] = loop.create_task(keep_running(follower.run))

    def close_unused(self, owned_cell_ids: set[str]) -> None:
        """Stop following tables without an owned cell, and forget their submissions.

        Those of a followed table stay: the follower doesn't deliver them again if
        another cell of the table is acquired.
        """
        used = {cell_submission_table(cell_id) for cell_id in owned_cell_ids}
        unused = self._follower_by_table.keys() - used
        for table in unused:
            del self._follower_by_table[table]
            self._task_by_table.pop(table).cancel()
        if unused:
            self._directory.keep_only(used)
