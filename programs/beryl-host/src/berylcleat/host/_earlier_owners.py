"""Times by which the leases of owners that can't be asked have ended."""

import logging

import msgspec

from berylcleat.model import MalformedValueError, decode_json
from berylcleat.ports import Store, StoreRow
from berylcleat.scheduling import wait_for_limit_s

from ._cell_directory import ObservedOwner
from ._clock import now_s
from ._records import (
    HOST_PREFIX,
    EarlierOwner,
    HostRow,
    OwnerRow,
    data_centre_table,
)
from ._store_clock import shown_by
from ._version_times import VersionTimes

logger = logging.getLogger(__name__)
_host_decoder = msgspec.json.Decoder(HostRow)


def latest_lease_end(owners: tuple[EarlierOwner, ...], acquired_at: float) -> float:
    """Return by when leases have ended of owners that another one has replaced.

    None of them was confirmed after ``acquired_at``.
    """
    return max(
        (acquired_at + wait_for_limit_s(owner.limit_s) for owner in owners),
        default=acquired_at,
    )


def stopped_leases_end_at(
    owners: tuple[EarlierOwner, ...],
    row: OwnerRow,
    previous: ObservedOwner | None,
    acquired_at: float,
    stop_wait_s: float,
) -> float:
    """Return by when leases have ended of owners that have certainly stopped.

    They aren't among ``owners`` of ``row``, and none lasts longer than ``stop_wait_s``
    after the stop. Each has released the cell, or restarted, before ``previous`` was
    acquired, unless it is one of those that ``previous`` names or its owner.
    """
    may_last_run = any(owner.epoch == row.epoch - 1 for owner in owners)
    if previous is None or previous.row.epoch >= row.epoch or not may_last_run:
        return acquired_at + stop_wait_s
    named = previous.row.earlier_owners or ()
    if previous.unsettled_s(acquired_at) and not set(named) <= set(owners):
        # One of them has restarted since.
        return acquired_at + stop_wait_s
    return previous.observed_at + stop_wait_s


async def read_latest_lease_end(
    store: Store,
    owners: tuple[EarlierOwner, ...],
    acquired_at: float,
    version_times: VersionTimes,
) -> float:
    """Return by when leases have ended, counted from the owners' last heartbeats.

    An owner's limit counts from a heartbeat that was stored before its last
    confirmation, so before ``acquired_at``, and none of those is newer than the one
    that is read now. Raises ``BerylError`` if the store doesn't answer.
    """
    ends = []
    for owner in owners:
        counted_from = acquired_at
        if owner.limit_s and owner.data_centre:
            heartbeat_by = await _read_heartbeat_time(store, owner, version_times)
            counted_from = min(acquired_at, heartbeat_by)
        ends.append(counted_from + wait_for_limit_s(owner.limit_s))
    return max(ends, default=acquired_at)


async def _read_heartbeat_time(
    store: Store, owner: EarlierOwner, version_times: VersionTimes
) -> float:
    """Return a time by which the owner's last heartbeat was sent, or now.

    The row's version tells it only to a host that was running then; what the store's
    clock showed tells it to any.
    """
    key = HOST_PREFIX + owner.host_id
    table = data_centre_table(owner.data_centre)
    page = await store.read(table, owner.data_centre, key, key + "\x00")
    now = now_s()
    for row in page.rows:
        heartbeat = _decode_heartbeat(row)
        if heartbeat is not None and heartbeat.incarnation == owner.incarnation:
            written_by = version_times.written_by(row.version, now)
            return min(
                written_by, shown_by(heartbeat.sent_store_ms, page.store_ms, now)
            )
    return now


def _decode_heartbeat(row: StoreRow) -> HostRow | None:
    """Return a heartbeat, or None if it can't be decoded."""
    try:
        return decode_json(_host_decoder, row.value)
    except MalformedValueError as error:
        logger.error("heartbeat %s can't be decoded: %s", row.key, error)
        return None
