"""Clients of the platform's table, object store, host list and workers."""

from ._base import (
    Check,
    CommitResult,
    HostList,
    ListedHost,
    ListedWorker,
    ObjectStore,
    PlatformList,
    Put,
    Row,
    ScanResult,
    Table,
    Transaction,
    WorkerControl,
)
from ._change_feed import ChangeFeed, Changes
from ._http_clients import HttpHostList, HttpObjectStore, HttpTable, HttpWorkerControl
from ._list_source import ListSource
from ._worker_messages import (
    ExchangeReply,
    ExchangeRequest,
    TaskEnd,
    TaskRunning,
    TaskStart,
    TaskStop,
    TaskThrottle,
)

__all__ = [
    "ChangeFeed",
    "Changes",
    "Check",
    "CommitResult",
    "ExchangeReply",
    "ExchangeRequest",
    "HostList",
    "HttpHostList",
    "HttpObjectStore",
    "HttpTable",
    "HttpWorkerControl",
    "ListSource",
    "ListedHost",
    "ListedWorker",
    "ObjectStore",
    "PlatformList",
    "Put",
    "Row",
    "ScanResult",
    "Table",
    "TaskEnd",
    "TaskRunning",
    "TaskStart",
    "TaskStop",
    "TaskThrottle",
    "Transaction",
    "WorkerControl",
]
