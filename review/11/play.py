"""One worker of a rack is lost: do tasks still find the workers that advice allows?"""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import lab_3

CHECK = {"steps": [{"count": 1, "cpu": 4000, "memMb": 1000, "estimateMs": 1000}]}
ADVISED = {"w16", "w17", "w18"}


def make(record_path: Path) -> lab_3.Lab:
    """Return three hosts and racks; advice allows three workers of the third rack."""
    racks = {"lakeshore-a": [8], "lakeshore-b": [8], "lakeshore-c": [8]}
    lab = lab_3.Lab(record_path, racks, 3)
    lab.advised = ADVISED
    return lab


async def run(lab: lab_3.Lab, has_trouble: bool) -> bool:
    """Lose one of the three workers, and hand submissions in."""
    await lab.submit("00000000000000a0", CHECK, 1.0)
    await lab.wait_state("00000000000000a0", "done", 15.0)
    if has_trouble:
        await lab.lose_worker("w17")
        await asyncio.sleep(3.0)
    names = [f"00000000000000b{n}" for n in range(3)]
    for name in names:
        await lab.submit(name, CHECK, 1.0)
        await asyncio.sleep(1.0)
    kept = await asyncio.gather(*(lab.is_kept(name, ADVISED) for name in names))
    for name in names:
        await lab.wait_state(name, "done", 1.0)
    return all(kept)


lab_3.main(run, make)
