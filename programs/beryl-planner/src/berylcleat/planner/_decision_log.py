"""Bounded in-memory log of scheduling decisions and their reasons."""

import time
from collections import OrderedDict, deque

import msgspec

MAX_SUBJECTS = 5_000
MAX_RECORDS_PER_SUBJECT = 20


class DecisionRecord(msgspec.Struct, frozen=True):
    """A decision on one subject, with its time and reason."""

    at: str
    host: str
    subject: str
    action: str
    reason: str


class DecisionLog:
    """Newest decision records of the most recently recorded subjects."""

    def __init__(self, host_id: str):
        self._host_id = host_id
        self._by_subject: OrderedDict[str, deque[DecisionRecord]] = OrderedDict()

    def record(self, subjects: tuple[str, ...], action: str, reason: str) -> None:
        """Record ``action`` on each subject unless its last record is the same."""
        at = time.strftime("%Y-%m-%dT%H:%M:%SZ", time.gmtime())
        for subject in subjects:
            records = self._records(subject)
            if records and (records[-1].action, records[-1].reason) == (action, reason):
                continue
            records.append(DecisionRecord(at, self._host_id, subject, action, reason))

    def find(self, subject: str) -> tuple[DecisionRecord, ...]:
        """Return the records kept on ``subject``, oldest first."""
        return tuple(self._by_subject.get(subject, ()))

    def _records(self, subject: str) -> deque[DecisionRecord]:
        records = self._by_subject.get(subject)
        if records is None:
            records = self._by_subject[subject] = deque(maxlen=MAX_RECORDS_PER_SUBJECT)
        self._by_subject.move_to_end(subject)
        if len(self._by_subject) > MAX_SUBJECTS:
            self._by_subject.popitem(last=False)
        return records
