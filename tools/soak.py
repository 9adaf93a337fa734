"""Play seeds of the fault soak by hand, several side by side; print what broke."""

import argparse
import asyncio
import shutil
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT / "programs/beryl-host/features/steps"))

from soak import Soak  # noqa: E402


async def play(random_state: int, length_s: float, slots: asyncio.Semaphore) -> bool:
    """Play one seed; return whether every promise was kept."""
    async with slots:
        soak = Soak(random_state, length_s)
        broken = await soak.run()
        told = soak.answers
        print(
            f"seed {random_state}: {len(soak.plan)} faults,"
            f" {len(told.accepted)} accepted, {len(told.refused)} refused,"
            f" {len(told.unknown)} unknown: {'broken' if broken else 'kept'}",
            flush=True,
        )
        for text in broken:
            print(f"  {text}", flush=True)
        if broken:
            print(f"  logs: {soak.group.folder.name}", flush=True)
        else:
            shutil.rmtree(soak.group.folder, ignore_errors=True)
        return not broken


async def play_all(first: int, n_seeds: int, length_s: float, n_side: int) -> int:
    """Play ``n_seeds`` seeds; return how many broke a promise."""
    slots = asyncio.Semaphore(n_side)
    seeds = range(first, first + n_seeds)
    kept = await asyncio.gather(*(play(seed, length_s, slots) for seed in seeds))
    print(f"{sum(kept)} kept, {len(kept) - sum(kept)} broken")
    return len(kept) - sum(kept)


def main() -> None:
    """Read the command line and play."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--first", type=int, default=1, help="the first seed")
    parser.add_argument("--seeds", type=int, default=50, help="how many seeds")
    parser.add_argument("--length", type=float, default=15.0, help="seconds of faults")
    parser.add_argument("--side", type=int, default=3, help="seeds side by side")
    chosen = parser.parse_args()
    n_broken = asyncio.run(
        play_all(chosen.first, chosen.seeds, chosen.length, chosen.side)
    )
    sys.exit(1 if n_broken else 0)


if __name__ == "__main__":
    main()
