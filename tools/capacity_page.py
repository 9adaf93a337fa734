"""Work out docs/CAPACITY.md's tables from the slopes, or check that they agree."""

import argparse
import json
import sys
from dataclasses import dataclass
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
SLOPES = ROOT / "docs" / "capacity" / "slopes.json"
PAGE = ROOT / "docs" / "CAPACITY.md"
BEGIN = "<!-- computed: begin -->"
END = "<!-- computed: end -->"

N_WORKERS = 830
STARTS_PER_S = 280.0
N_TASKS_HELD = 20_000
N_CELLS = 104
N_DATA_CENTRES = 6
N_SERVICES = 100
CONFIG_CHANGES_PER_DAY = 410
JOBS_PER_DAY = 12_000
SECONDS_PER_DAY = 86_400.0
BEATS_PER_S = 1.0
COMMITS_PER_S = 3.5
EXCHANGES_PER_S = 0.5
TASKS_PER_CLAIM = 32.0
CPU_LIMIT_US = 20_000.0
BYTES_LIMIT = 29_000.0
MEMORY_LIMIT_MB = 256.0
TABLE_WRITES_LIMIT = 300.0
TABLE_READS_LIMIT = 2_000.0
BYTES_PER_MB = 1e6
NODE_COUNTS = (13, 42)
MOST_NODES = 200


@dataclass(frozen=True, slots=True)
class Costs:
    """Hold the slopes that the page is worked out from."""

    slopes: dict

    def cpu(self, name: str) -> float:
        """Return microseconds a unit."""
        return self.slopes[name]["cpu_us_per_unit"]

    def n_bytes(self, name: str) -> float:
        """Return bytes a unit."""
        return self.slopes[name]["bytes_per_unit"]

    def memory(self, name: str) -> float:
        """Return bytes of memory a unit."""
        return self.slopes[name]["memory_bytes_per_unit"]

    def base(self, name: str) -> tuple[float, float]:
        """Return microseconds and bytes at no units."""
        slope = self.slopes[name]
        return slope["cpu_us_base"], slope["bytes_base"]

    def resident(self, name: str) -> float:
        """Return the resident bytes at the largest point."""
        return max(self.slopes[name]["points"][-1]["memory_bytes"])


@dataclass(frozen=True, slots=True)
class Line:
    """Hold one line of the page: what a node spends on one mechanism."""

    what: str
    mechanism: str
    cpu_us: float
    n_bytes: float
    memory_mb: float


def node_lines(costs: Costs, n_nodes: int) -> list[Line]:
    """Return what one of ``n_nodes`` spends at the peak, line by line."""
    workers = N_WORKERS / n_nodes
    starts = STARTS_PER_S / n_nodes
    held = N_TASKS_HELD / n_nodes
    hosts = max(1.0, n_nodes / N_DATA_CENTRES)
    idle_cpu, idle_bytes = costs.base("owned_worker_second")
    entry_cpu, entry_bytes = costs.base("entry_host_second")
    changes = CONFIG_CHANGES_PER_DAY / SECONDS_PER_DAY
    return [
        Line(
            "planner, nothing owned",
            "beat, one scan of changes, list, own entry",
            idle_cpu,
            idle_bytes,
            costs.resident("owned_worker_second") / BYTES_PER_MB,
        ),
        Line(
            f"{workers:.0f} workers owned",
            "one exchange each 2 s carries all",
            workers * costs.cpu("owned_worker_second"),
            workers * costs.n_bytes("owned_worker_second"),
            workers * max(0.0, costs.memory("owned_worker_second")) / BYTES_PER_MB,
        ),
        Line(
            f"{starts:.1f} starts and finishes a second",
            "claim, journal with group commit, exchange at once",
            starts * costs.cpu("task_start_and_finish"),
            starts * costs.n_bytes("task_start_and_finish"),
            0.0,
        ),
        Line(
            f"{held:.0f} tasks held",
            "cell state in memory; reports of changes only",
            0.0,
            0.0,
            2 * held * costs.memory("held_task") / BYTES_PER_MB,
        ),
        Line(
            f"entry among {hosts:.1f} hosts of its data centre",
            "peer messages once a second, changes, list",
            entry_cpu + hosts * costs.cpu("entry_host_second"),
            entry_bytes + hosts * costs.n_bytes("entry_host_second"),
            costs.resident("entry_host_second") / BYTES_PER_MB,
        ),
        Line(
            f"{CONFIG_CHANGES_PER_DAY} versions a day of {N_SERVICES} services",
            "one document a version, by table and peers",
            2 * changes * N_SERVICES * costs.cpu("config_service"),
            3 * changes * N_SERVICES * costs.n_bytes("config_service"),
            0.0,
        ),
    ]


def table_lines(n_nodes: int) -> list[tuple[str, float, float]]:
    """Return row writes and reads a second that all nodes ask of the table."""
    commits = min(COMMITS_PER_S * n_nodes, 2 * STARTS_PER_S)
    claims = STARTS_PER_S / TASKS_PER_CLAIM
    return [
        ("heartbeats", BEATS_PER_S * n_nodes, 0.0),
        ("journal rows (group commits, 3.5 a second a node)", commits, 0.0),
        ("claimed jobs and settled claims", 3 * claims, 0.0),
        ("configuration", 2 * CONFIG_CHANGES_PER_DAY / SECONDS_PER_DAY, 0.0),
        ("submitted jobs", JOBS_PER_DAY / SECONDS_PER_DAY, 0.0),
        ("scans of changes and lists", 0.0, 5.0 * n_nodes),
    ]


def takeover_lines(costs: Costs) -> list[tuple[str, float]]:
    """Return seconds of CPU that takeovers cost one node."""
    per_task = costs.cpu("recovered_task") / 1e6
    tasks_per_cell = N_TASKS_HELD / N_CELLS
    exchange = costs.cpu("renewal") / 1e6
    cell = tasks_per_cell * per_task + 8 * exchange
    return [
        ("one cell (rack of 8, 192 tasks): recover and fence", cell),
        (
            "a node of 13 lost: 8 cells over 1.2 peers of its data centre",
            8 * cell / 1.2,
        ),
        ("a node of 42 lost: 2.5 cells over 6 peers", 2.5 * cell / 6),
        ("a data centre replaced: 17 cells on 2 nodes", 17 * cell / 2),
    ]


def _verdict(value: float, limit: float) -> str:
    margin = limit / value if value else float("inf")
    return (
        f"fits ({margin:.1f}x)" if value <= limit else f"DOES NOT FIT ({margin:.2f}x)"
    )


def _node_section(costs: Costs, n_nodes: int) -> list[str]:
    lines = node_lines(costs, n_nodes)
    rows = [f"### One of {n_nodes} nodes, at 280 starts a second", ""]
    rows += [
        "| what | carried by | CPU ms/s | KB/s | memory MB |",
        "|---|---|---|---|---|",
    ]
    for line in lines:
        rows.append(
            f"| {line.what} | {line.mechanism} | {line.cpu_us / 1000:.2f} | "
            f"{line.n_bytes / 1000:.2f} | {line.memory_mb:.1f} |"
        )
    cpu = sum(line.cpu_us for line in lines)
    n_bytes = sum(line.n_bytes for line in lines)
    memory = sum(line.memory_mb for line in lines)
    rows.append(
        f"| **sum** | | **{cpu / 1000:.2f}** | **{n_bytes / 1000:.2f}** | "
        f"**{memory:.0f}** |"
    )
    rows.append(
        f"| **limit** | | 20: {_verdict(cpu, CPU_LIMIT_US)} | "
        f"29: {_verdict(n_bytes, BYTES_LIMIT)} | "
        f"256: {_verdict(memory, MEMORY_LIMIT_MB)} |"
    )
    return [*rows, ""]


def _fits(costs: Costs, n_nodes: int) -> bool:
    lines = node_lines(costs, n_nodes)
    fits_cpu = sum(line.cpu_us for line in lines) <= CPU_LIMIT_US
    fits_bytes = sum(line.n_bytes for line in lines) <= BYTES_LIMIT
    writes = sum(line[1] for line in table_lines(n_nodes))
    return fits_cpu and fits_bytes and writes <= TABLE_WRITES_LIMIT


def _range_section(costs: Costs) -> list[str]:
    fitting = [n for n in range(N_DATA_CENTRES, MOST_NODES) if _fits(costs, n)]
    text = f"{min(fitting)} to {max(fitting)}" if fitting else "none"
    return [f"Numbers of nodes at which every line above fits: **{text}**.", ""]


def _table_section() -> list[str]:
    rows = ["### What all nodes ask of the table, a second", ""]
    heads = " | ".join(f"writes, {n} | reads, {n}" for n in NODE_COUNTS)
    rows += [f"| what | {heads} |", "|---|" + "---|---|" * len(NODE_COUNTS)]
    columns = [table_lines(n) for n in NODE_COUNTS]
    for index, (what, _, _) in enumerate(columns[0]):
        cells = " | ".join(f"{c[index][1]:.1f} | {c[index][2]:.1f}" for c in columns)
        rows.append(f"| {what} | {cells} |")
    sums = [(sum(x[1] for x in c), sum(x[2] for x in c)) for c in columns]
    cells = " | ".join(
        f"{w:.0f}: {_verdict(w, TABLE_WRITES_LIMIT)} | "
        f"{r:.0f}: {_verdict(r, TABLE_READS_LIMIT)}"
        for w, r in sums
    )
    return [*rows, f"| **sum** (limits 300 and 2,000) | {cells} |", ""]


def _takeover_section(costs: Costs) -> list[str]:
    rows = ["### Takeovers, on one node", "", "| what | CPU s |", "|---|---|"]
    rows += [f"| {what} | {seconds:.3f} |" for what, seconds in takeover_lines(costs)]
    return [*rows, ""]


def _slope_section(costs: Costs, result: dict) -> list[str]:
    rows = [
        f"### Slopes (`{result['command']}`, commit {result['commit']}, "
        f"{result['n_repeats']} repeats a point)",
        "",
        "| unit | sizes | CPU us | bytes | memory bytes | spread | bend |",
        "|---|---|---|---|---|---|---|",
    ]
    for slope in costs.slopes.values():
        sizes = ", ".join(str(point["size"]) for point in slope["points"])
        rows.append(
            f"| {slope['unit']} | {sizes} | {slope['cpu_us_per_unit']:.1f} | "
            f"{slope['bytes_per_unit']:.0f} | {slope['memory_bytes_per_unit']:.0f} | "
            f"{slope['cpu_spread']:.2f} | {slope['cpu_bend']:.2f} |"
        )
    return [*rows, ""]


def computed_text(result: dict) -> str:
    """Return the computed part of the page."""
    costs = Costs(result["slopes"])
    rows: list[str] = []
    for n_nodes in NODE_COUNTS:
        rows += _node_section(costs, n_nodes)
    rows += _table_section() + _range_section(costs)
    rows += _takeover_section(costs) + _slope_section(costs, result)
    return "\n".join(rows)


def main() -> int:
    """Write the computed part of the page, or check it."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--write", action="store_true")
    arguments = parser.parse_args()
    text = computed_text(json.loads(SLOPES.read_text(encoding="utf-8")))
    page = PAGE.read_text(encoding="utf-8")
    head, rest = page.split(BEGIN)
    _, tail = rest.split(END)
    fresh = f"{head}{BEGIN}\n\n{text}\n{END}{tail}"
    if arguments.write:
        PAGE.write_text(fresh, encoding="utf-8")
        return 0
    if fresh != page:
        print("docs/CAPACITY.md differs from its slopes: run make capacity")
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
