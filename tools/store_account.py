"""Sum the hosts' traffic with the store by call and table, from a play's log.

Reads the last line "store traffic" of each host. Counts begin with each process.
"""

import argparse
import re
import sys
from collections import Counter

LINE = re.compile(
    r"^\s*(?P<at>-?[\d.]+) (?P<host>\S+) .*store traffic: (?P<items>[^\"]*)"
)
ITEM = re.compile(r"(\w+) (\S*) (\d+) calls (\d+) B")


def read_last_items(lines) -> dict[str, str]:
    """Return the items of the last line of each host."""
    items_by_host = {}
    for line in lines:
        match = LINE.match(line)
        if match:
            items_by_host[match["host"]] = match["items"]
    return items_by_host


def print_account(items_by_host: dict[str, str]) -> None:
    """Print calls and bytes by call and table, the most bytes first."""
    n_calls: Counter[str] = Counter()
    n_bytes: Counter[str] = Counter()
    for items in items_by_host.values():
        for call, table, calls, size in ITEM.findall(items):
            n_calls[f"{call} {table}"] += int(calls)
            n_bytes[f"{call} {table}"] += int(size)
    print(f"{len(items_by_host)} hosts, {n_bytes.total() / 1e6:.1f} MB")
    for name, size in n_bytes.most_common():
        print(f"{name:28} {n_calls[name]:8} calls {size / 1e6:9.2f} MB")


def main() -> int:
    """Print the account of a log; exit with 1 if it holds no such line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("log", help="output of a play with --log")
    with open(parser.parse_args().log, encoding="utf-8", errors="replace") as lines:
        items_by_host = read_last_items(lines)
    if not items_by_host:
        print("no line of store traffic: play at least 10 s with --log")
        return 1
    print_account(items_by_host)
    return 0


if __name__ == "__main__":
    sys.exit(main())
