"""Times by which the leases of owners that can't be asked have ended."""

import logging

import msgspec

from berylcleat.model import MalformedValueError, decode_json
from berylcleat.ports import Store, StoreRow
from berylcleat.scheduling import wait_for_limit_s

from ._clock import now_s
from ._records import HOST_PREFIX, EarlierOwner, HostRow, data_centre_table
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


async def read_latest_lease_end(
    store: Store,
    owners: tuple[EarlierOwner, ...],
    acquired_at: float,
    version_times: VersionTimes,
) -> float:
    """Return the same, counted from the last heartbeats of the owners.

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
