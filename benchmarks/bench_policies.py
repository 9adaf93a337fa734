"""Compare all policies on all kinds of traces over several seeds."""

import argparse
import json
import statistics
import sys
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

import msgspec
from rich.console import Console
from rich.table import Table

from berylcleat.replay import (
    POLICY_MAKER_BY_NAME,
    TRACE_MAKER_BY_KIND,
    Replay,
    Report,
    make_policy,
    make_trace,
)

N_PROCESSES = 5
P99_RATIO_TARGET = 1.1
WORK_OF_INFORMED_TARGET = 0.9
WORK_OF_NO_COLOCATION_TARGET = 1.5
EVICTION_RATIO_TARGET = 0.5
URGENT_START_P99_TARGET_S = 7.5


def replay_trace(kind: str, policy: str, seed: int) -> Report:
    """Replay one generated trace under one policy."""
    trace = make_trace(kind, seed)
    outcomes = Replay(trace, make_policy(policy, trace), seed).run()
    return outcomes.report(policy, kind, seed)


def replay_all(kinds: list[str], policies: list[str], seeds: list[int]) -> list[Report]:
    """Replay all combinations in a process pool."""
    combinations = [(k, p, s) for k in kinds for s in seeds for p in policies]
    with ProcessPoolExecutor(N_PROCESSES) as pool:
        return list(pool.map(replay_trace, *zip(*combinations, strict=True)))


def _format_spread(values: list[float]) -> str:
    return f"{statistics.median(values):.2f} ({min(values):.2f} to {max(values):.2f})"


def compute_ratios(reports: list[Report]) -> list[dict]:
    """Compute the ratios of colocate to the other policies, by trace and seed."""
    by_key = {(r.trace, r.seed, r.policy): r for r in reports}
    rows = []
    for (kind, seed, policy), colocate in by_key.items():
        if policy != "colocate":
            continue
        no_colocation = by_key[(kind, seed, "no-colocation")]
        first_fit = by_key[(kind, seed, "first-fit")]
        informed = by_key[(kind, seed, "informed")]
        rows.append(
            {
                "trace": kind,
                "seed": seed,
                "violations": len(colocate.violations),
                "p99_of_alone": colocate.service_p99_ms / no_colocation.service_p99_ms,
                "work_of_informed": colocate.batch_core_hours
                / informed.batch_core_hours,
                "work_of_alone": colocate.batch_core_hours
                / no_colocation.batch_core_hours,
                "work_of_first_fit": colocate.batch_core_hours
                / first_fit.batch_core_hours,
                "evictions_of_first_fit": colocate.evictions
                / max(1, first_fit.evictions),
                "urgent_p99_s": colocate.urgent_start_p99_s,
                "cpu_us": colocate.decision_cpu_us_mean,
            }
        )
    return rows


def print_reports(reports: list[Report]) -> None:
    """Print medians and ranges by trace and policy, then the ratios."""
    console = Console(width=150)
    table = Table(
        "trace", "policy", "violations", "p50 ms", "p99 ms", "p99.9 ms", "missed",
        "core-hours", "deadlines", "evictions", "urgent p99 s", "CPU us",
    )  # fmt: skip
    keys = dict.fromkeys((r.trace, r.policy) for r in reports)
    for kind, policy in keys:
        group = [r for r in reports if (r.trace, r.policy) == (kind, policy)]
        table.add_row(
            kind,
            policy,
            str(sum(len(r.violations) for r in group)),
            *(
                _format_spread([getattr(r, name) for r in group])
                for name in (
                    "service_p50_ms",
                    "service_p99_ms",
                    "service_p999_ms",
                    "deadline_missed_ratio",
                    "batch_core_hours",
                    "batch_deadlines_met_ratio",
                    "evictions",
                    "urgent_start_p99_s",
                    "decision_cpu_us_mean",
                )
            ),
        )
    console.print(table)
    _print_ratios(console, compute_ratios(reports))


def _print_ratios(console: Console, rows: list[dict]) -> None:
    targets = (
        ("p99_of_alone", P99_RATIO_TARGET, True),
        ("work_of_informed", WORK_OF_INFORMED_TARGET, False),
        ("work_of_alone", WORK_OF_NO_COLOCATION_TARGET, False),
        ("evictions_of_first_fit", EVICTION_RATIO_TARGET, True),
        ("urgent_p99_s", URGENT_START_P99_TARGET_S, True),
    )
    table = Table("trace", *(f"{name} ({target})" for name, target, _ in targets))
    for kind in dict.fromkeys(row["trace"] for row in rows):
        group = [row for row in rows if row["trace"] == kind]
        cells = []
        for name, target, is_upper in targets:
            values = [row[name] for row in group]
            n_met = sum(v <= target if is_upper else v >= target for v in values)
            cells.append(f"{_format_spread(values)}; met {n_met}/{len(values)}")
        table.add_row(kind, *cells)
    console.print(table)


def main() -> int:
    """Replay, print the results and write them to the file of ``--write``."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--kinds", nargs="*", default=list(TRACE_MAKER_BY_KIND))
    parser.add_argument("--policies", nargs="*", default=list(POLICY_MAKER_BY_NAME))
    parser.add_argument("--seeds", nargs="*", type=int, default=[1, 2, 3])
    parser.add_argument("--write", type=Path)
    arguments = parser.parse_args()
    reports = replay_all(arguments.kinds, arguments.policies, arguments.seeds)
    print_reports(reports)
    if arguments.write:
        text = json.dumps(
            [json.loads(msgspec.json.encode(r)) for r in reports], indent=1
        )
        arguments.write.write_text(text + "\n", encoding="utf-8")
    return 0


if __name__ == "__main__":
    sys.exit(main())
