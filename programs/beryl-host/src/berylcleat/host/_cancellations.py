"""Cancellations of submissions, also of those that aren't stored."""

import logging
from collections import deque
from collections.abc import Callable

from berylcleat.http import HttpResponse
from berylcleat.model import (
    BerylError,
    OutcomeUnknownError,
    PlatformUnavailableError,
    UnreadableRecordError,
)
from berylcleat.platform import is_submission_id

from ._client_responses import make_response
from ._clock import now_s, wall_ms
from ._metrics import EARLY_CANCELLATIONS
from ._submission_directory import SubmissionEntry
from ._submission_store import SubmissionStore

# Early cancellations that a host records at most: clients can send any id, and each
# takes two rows until it is removed.
MAX_EARLY_CANCELLATIONS = 200
EARLY_CANCELLATION_WINDOW_S = 60.0
CancelListener = Callable[[str, SubmissionEntry], None]
logger = logging.getLogger(__name__)


class Cancellations:
    """Handler of cancellations by clients.

    ``known_home`` returns the home cell of a submission if this host knows it, and
    ``on_cancelled`` is told of each cancellation that is stored.
    """

    def __init__(
        self,
        submissions: SubmissionStore,
        known_home: Callable[[str], str | None],
        on_cancelled: CancelListener,
    ):
        self._submissions = submissions
        self._known_home = known_home
        self._on_cancelled = on_cancelled
        # When this host recorded early cancellations within the window.
        self._recorded_at: deque[float] = deque()

    async def cancel(self, submission_id: str, deadline: float) -> HttpResponse:
        """Cancel a submission; 410 promises that nothing of it runs from now on."""
        try:
            return await self._cancel(submission_id, deadline)
        except (PlatformUnavailableError, UnreadableRecordError) as error:
            logger.info("submission %s: cancellation refused: %s", submission_id, error)
            return make_response(503)
        except BerylError as error:
            logger.info(
                "submission %s: cancellation outcome unknown: %s", submission_id, error
            )
            return make_response(504)

    async def _cancel(self, submission_id: str, deadline: float) -> HttpResponse:
        if not is_submission_id(submission_id):
            return make_response(410)
        while now_s() < deadline:
            cell_id = self._known_home(submission_id)
            if cell_id is None:
                home = await self._submissions.read_home(submission_id)
                if home is not None and home.is_early_cancellation:
                    return make_response(200 if home.is_submitted else 410)
                cell_id = None if home is None else home.cell_id
            if cell_id is not None:
                entry = await self._store_cancel(submission_id, cell_id, deadline)
                self._on_cancelled(submission_id, entry)
                return make_response(200)
            if not self._may_record_early():
                logger.info(
                    "submission %s: cancellation refused: it isn't stored, and too "
                    "many such were cancelled",
                    submission_id,
                )
                EARLY_CANCELLATIONS.labels("refused").inc()
                return make_response(503)
            if await self._submissions.cancel_early(submission_id, int(wall_ms())):
                logger.info(
                    "submission %s: cancelled before it is stored", submission_id
                )
                EARLY_CANCELLATIONS.labels("recorded").inc()
                return make_response(410)
            logger.info("submission %s: stored during its cancellation", submission_id)
        raise OutcomeUnknownError(
            f"submission {submission_id}: deadline passed", "Send it again"
        )

    def _may_record_early(self) -> bool:
        """Count an early cancellation; return False if there were too many."""
        now = now_s()
        while self._recorded_at and (
            now - self._recorded_at[0] > EARLY_CANCELLATION_WINDOW_S
        ):
            self._recorded_at.popleft()
        if len(self._recorded_at) >= MAX_EARLY_CANCELLATIONS:
            return False
        self._recorded_at.append(now)
        return True

    async def _store_cancel(
        self, submission_id: str, cell_id: str, deadline: float
    ) -> SubmissionEntry:
        """Store a cancellation in all cells of a submission; return its entry.

        Repeats it while tasks are being moved to other cells. Raises
        ``OutcomeUnknownError`` at the deadline.
        """
        while now_s() < deadline:
            entry = await self._submissions.read_entry(submission_id, cell_id)
            if entry.accepted is None:
                raise OutcomeUnknownError(
                    f"submission {submission_id} is missing in cell {cell_id}",
                    "Send the cancellation again",
                )
            if entry.is_cancelled:
                return entry
            outcome = await self._submissions.cancel(entry)
            if outcome.applied:
                return entry
            logger.info(
                "submission %s: tasks were moved during its cancellation", submission_id
            )
        raise OutcomeUnknownError(
            f"submission {submission_id}: deadline passed", "Send it again"
        )
