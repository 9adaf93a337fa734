"""Types of the numbers in records, with bounds that each decoder checks."""

from typing import Annotated

from msgspec import Meta

# Integers up to here are exact in every JSON implementation, and any sum or product of
# a few of them is a finite float.
MAX_EXACT = 2**53
# Owners hold all tasks of a submission in memory. It is what the design starts in six
# minutes, at 280 tasks a second.
MAX_TASKS = 100_000
# Ten years, hour by hour.
MAX_OCCURRENCES = 100_000
Count = Annotated[int, Meta(ge=0, le=MAX_EXACT)]
Integer = Annotated[int, Meta(ge=-MAX_EXACT, le=MAX_EXACT)]
Amount = Annotated[float, Meta(ge=0, le=MAX_EXACT)]
Number = Annotated[float, Meta(ge=-MAX_EXACT, le=MAX_EXACT)]
TaskCount = Annotated[int, Meta(ge=0, le=MAX_TASKS)]
OccurrenceCount = Annotated[int, Meta(ge=0, le=MAX_OCCURRENCES)]
# Workers get it as a fencing token, and run numbers contain it.
Epoch = Annotated[int, Meta(ge=0, le=MAX_EXACT // 1000)]
# Leaves room for the runs of all later epochs.
RunNumber = Annotated[int, Meta(ge=0, le=MAX_EXACT // 2)]
