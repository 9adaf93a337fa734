"""Run seeds of the fault-injection soak test concurrently; print violations."""

import argparse
import asyncio
import shutil
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT / "programs/beryl-host/features/steps"))

from soak import Soak  # noqa: E402


async def run_seed(
    seed: int,
    length_s: float,
    concurrency_limit: asyncio.Semaphore,
    *,
    has_drains: bool,
    has_gone: bool,
) -> bool:
    """Run one seed; return whether all invariants held."""
    async with concurrency_limit:
        soak = Soak(seed, length_s, has_drains=has_drains, has_gone=has_gone)
        violations = await soak.run()
        outcomes = soak.answers
        print(
            f"seed {seed}: {soak.n_faults} faults,"
            f" {len(outcomes.accepted)} accepted, {len(outcomes.refused)} refused,"
            f" {len(outcomes.unknown)} unknown, proxies late by up to"
            f" {soak.longest_delay_s:.1f} s: {'broken' if violations else 'kept'}",
            flush=True,
        )
        for text in violations:
            print(f"  {text}", flush=True)
        if violations:
            print(f"  logs: {soak.group.folder.name}", flush=True)
        else:
            shutil.rmtree(soak.group.folder, ignore_errors=True)
        return not violations


async def run_seeds(
    first: int,
    n_seeds: int,
    length_s: float,
    n_concurrent: int,
    *,
    has_drains: bool,
    has_gone: bool,
) -> int:
    """Run ``n_seeds`` seeds; return how many violated an invariant."""
    concurrency_limit = asyncio.Semaphore(n_concurrent)
    seeds = range(first, first + n_seeds)
    passed = await asyncio.gather(
        *(
            run_seed(
                seed,
                length_s,
                concurrency_limit,
                has_drains=has_drains,
                has_gone=has_gone,
            )
            for seed in seeds
        )
    )
    print(f"{sum(passed)} kept, {len(passed) - sum(passed)} broken")
    return len(passed) - sum(passed)


def main() -> None:
    """Parse the command line, run the seeds and exit 1 on a violation."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--first", type=int, default=1, help="first seed")
    parser.add_argument("--seeds", type=int, default=50, help="number of seeds")
    parser.add_argument(
        "--length",
        type=float,
        default=15.0,
        help="duration of fault injection in seconds",
    )
    parser.add_argument(
        "--side", type=int, default=3, help="number of concurrent seeds"
    )
    kinds = parser.add_mutually_exclusive_group()
    kinds.add_argument(
        "--drains",
        action="store_true",
        help="let workers drain and exit, cut them off, close the store",
    )
    kinds.add_argument(
        "--gone",
        action="store_true",
        help="let owners and workers of their cells go together and never return",
    )
    arguments = parser.parse_args()
    n_violated = asyncio.run(
        run_seeds(
            arguments.first,
            arguments.seeds,
            arguments.length,
            arguments.side,
            has_drains=arguments.drains,
            has_gone=arguments.gone,
        )
    )
    sys.exit(1 if n_violated else 0)


if __name__ == "__main__":
    main()
