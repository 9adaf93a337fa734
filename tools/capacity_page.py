"""Compute the tables of docs/CAPACITY.md from the slopes, or check that they match."""

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
N_TRACKED_TASKS = 20_000
N_CELLS = 104
N_DATA_CENTRES = 6
N_SERVICES = 100
CONFIG_CHANGES_PER_DAY = 410
JOBS_PER_DAY = 12_000
SECONDS_PER_DAY = 86_400.0
HEARTBEATS_PER_S = 1.0
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
MAX_NODES = 200


@dataclass(frozen=True, slots=True)
class CostModel:
    """Measured costs per unit (slopes) from which the page is computed."""

    slopes: dict

    def cpu_us_per_unit(self, name: str) -> float:
        """Return CPU microseconds per unit."""
        return self.slopes[name]["cpu_us_per_unit"]

    def bytes_per_unit(self, name: str) -> float:
        """Return transferred bytes per unit."""
        return self.slopes[name]["bytes_per_unit"]

    def memory_bytes_per_unit(self, name: str) -> float:
        """Return bytes of memory per unit."""
        return self.slopes[name]["memory_bytes_per_unit"]

    def base_cost(self, name: str) -> tuple[float, float]:
        """Return CPU microseconds and transferred bytes at zero units."""
        slope = self.slopes[name]
        return slope["cpu_us_base"], slope["bytes_base"]

    def resident_bytes(self, name: str) -> float:
        """Return the resident memory in bytes at the largest measured size."""
        return max(self.slopes[name]["points"][-1]["memory_bytes"])


@dataclass(frozen=True, slots=True)
class CostLine:
    """Row of a node's table: the cost of one mechanism per second."""

    label: str
    mechanism: str
    cpu_us: float
    n_bytes: float
    memory_mb: float


def node_lines(cost_model: CostModel, n_nodes: int) -> list[CostLine]:
    """Compute the costs of one of ``n_nodes`` at peak load, by mechanism."""
    workers = N_WORKERS / n_nodes
    starts_per_s = STARTS_PER_S / n_nodes
    tracked_tasks = N_TRACKED_TASKS / n_nodes
    hosts = max(1.0, n_nodes / N_DATA_CENTRES)
    idle_cpu, idle_bytes = cost_model.base_cost("owned_worker_second")
    entry_cpu, entry_bytes = cost_model.base_cost("entry_host_second")
    changes = CONFIG_CHANGES_PER_DAY / SECONDS_PER_DAY
    return [
        CostLine(
            "planner, nothing owned",
            "beat, one scan of changes, list, own entry",
            idle_cpu,
            idle_bytes,
            cost_model.resident_bytes("owned_worker_second") / BYTES_PER_MB,
        ),
        CostLine(
            f"{workers:.0f} workers owned",
            "one exchange each 2 s carries all",
            workers * cost_model.cpu_us_per_unit("owned_worker_second"),
            workers * cost_model.bytes_per_unit("owned_worker_second"),
            workers
            * max(0.0, cost_model.memory_bytes_per_unit("owned_worker_second"))
            / BYTES_PER_MB,
        ),
        CostLine(
            f"{starts_per_s:.1f} starts and finishes a second",
            "claim, journal with group commit, exchange at once",
            starts_per_s * cost_model.cpu_us_per_unit("task_start_and_finish"),
            starts_per_s * cost_model.bytes_per_unit("task_start_and_finish"),
            0.0,
        ),
        CostLine(
            f"{tracked_tasks:.0f} tasks held",
            "cell state in memory; reports of changes only",
            0.0,
            0.0,
            2
            * tracked_tasks
            * cost_model.memory_bytes_per_unit("held_task")
            / BYTES_PER_MB,
        ),
        CostLine(
            f"entry among {hosts:.1f} hosts of its data centre",
            "peer messages once a second, changes, list",
            entry_cpu + hosts * cost_model.cpu_us_per_unit("entry_host_second"),
            entry_bytes + hosts * cost_model.bytes_per_unit("entry_host_second"),
            cost_model.resident_bytes("entry_host_second") / BYTES_PER_MB,
        ),
        CostLine(
            f"{CONFIG_CHANGES_PER_DAY} versions a day of {N_SERVICES} services",
            "one document a version, by table and peers",
            2 * changes * N_SERVICES * cost_model.cpu_us_per_unit("config_service"),
            3 * changes * N_SERVICES * cost_model.bytes_per_unit("config_service"),
            0.0,
        ),
    ]


def table_lines(n_nodes: int) -> list[tuple[str, float, float]]:
    """Compute the table's row writes and reads per second by all nodes together."""
    commits = min(COMMITS_PER_S * n_nodes, 2 * STARTS_PER_S)
    claims = STARTS_PER_S / TASKS_PER_CLAIM
    return [
        ("heartbeats", HEARTBEATS_PER_S * n_nodes, 0.0),
        ("journal rows (group commits, 3.5 a second a node)", commits, 0.0),
        ("claimed jobs and settled claims", 3 * claims, 0.0),
        ("configuration", 2 * CONFIG_CHANGES_PER_DAY / SECONDS_PER_DAY, 0.0),
        ("submitted jobs", JOBS_PER_DAY / SECONDS_PER_DAY, 0.0),
        ("scans of changes and lists", 0.0, 5.0 * n_nodes),
    ]


def takeover_lines(cost_model: CostModel) -> list[tuple[str, float]]:
    """Compute the CPU seconds that takeovers cost one node."""
    recovery_s = cost_model.cpu_us_per_unit("recovered_task") / 1e6
    tasks_per_cell = N_TRACKED_TASKS / N_CELLS
    exchange_s = cost_model.cpu_us_per_unit("renewal") / 1e6
    cell = tasks_per_cell * recovery_s + 8 * exchange_s
    return [
        ("one cell (rack of 8, 192 tasks): recover and fence", cell),
        (
            "a node of 13 lost: 8 cells over 1.2 peers of its data centre",
            8 * cell / 1.2,
        ),
        ("a node of 42 lost: 2.5 cells over 6 peers", 2.5 * cell / 6),
        ("a data centre replaced: 17 cells on 2 nodes", 17 * cell / 2),
    ]


def _format_verdict(value: float, limit: float) -> str:
    margin = limit / value if value else float("inf")
    return (
        f"fits ({margin:.1f}x)" if value <= limit else f"DOES NOT FIT ({margin:.2f}x)"
    )


def _node_section(cost_model: CostModel, n_nodes: int) -> list[str]:
    lines = node_lines(cost_model, n_nodes)
    rows = [f"### One of {n_nodes} nodes, at 280 starts a second", ""]
    rows += [
        "| what | carried by | CPU ms/s | KB/s | memory MB |",
        "|---|---|---|---|---|",
    ]
    for line in lines:
        rows.append(
            f"| {line.label} | {line.mechanism} | {line.cpu_us / 1000:.2f} | "
            f"{line.n_bytes / 1000:.2f} | {line.memory_mb:.1f} |"
        )
    cpu_us = sum(line.cpu_us for line in lines)
    n_bytes = sum(line.n_bytes for line in lines)
    memory_mb = sum(line.memory_mb for line in lines)
    rows.append(
        f"| **sum** | | **{cpu_us / 1000:.2f}** | **{n_bytes / 1000:.2f}** | "
        f"**{memory_mb:.0f}** |"
    )
    rows.append(
        f"| **limit** | | 20: {_format_verdict(cpu_us, CPU_LIMIT_US)} | "
        f"29: {_format_verdict(n_bytes, BYTES_LIMIT)} | "
        f"256: {_format_verdict(memory_mb, MEMORY_LIMIT_MB)} |"
    )
    return [*rows, ""]


def _fits_limits(cost_model: CostModel, n_nodes: int) -> bool:
    lines = node_lines(cost_model, n_nodes)
    fits_cpu = sum(line.cpu_us for line in lines) <= CPU_LIMIT_US
    fits_bytes = sum(line.n_bytes for line in lines) <= BYTES_LIMIT
    writes = sum(line[1] for line in table_lines(n_nodes))
    return fits_cpu and fits_bytes and writes <= TABLE_WRITES_LIMIT


def _range_section(cost_model: CostModel) -> list[str]:
    fitting = [
        n for n in range(N_DATA_CENTRES, MAX_NODES) if _fits_limits(cost_model, n)
    ]
    text = f"{min(fitting)} to {max(fitting)}" if fitting else "none"
    return [f"Numbers of nodes at which every line above fits: **{text}**.", ""]


def _table_section() -> list[str]:
    rows = ["### What all nodes ask of the table, a second", ""]
    header_cells = " | ".join(f"writes, {n} | reads, {n}" for n in NODE_COUNTS)
    rows += [f"| what | {header_cells} |", "|---|" + "---|---|" * len(NODE_COUNTS)]
    columns = [table_lines(n) for n in NODE_COUNTS]
    for index, (label, _, _) in enumerate(columns[0]):
        cells = " | ".join(
            f"{column[index][1]:.1f} | {column[index][2]:.1f}" for column in columns
        )
        rows.append(f"| {label} | {cells} |")
    sums = [
        (sum(row[1] for row in column), sum(row[2] for row in column))
        for column in columns
    ]
    cells = " | ".join(
        f"{writes:.0f}: {_format_verdict(writes, TABLE_WRITES_LIMIT)} | "
        f"{reads:.0f}: {_format_verdict(reads, TABLE_READS_LIMIT)}"
        for writes, reads in sums
    )
    return [*rows, f"| **sum** (limits 300 and 2,000) | {cells} |", ""]


def _takeover_section(cost_model: CostModel) -> list[str]:
    rows = ["### Takeovers, on one node", "", "| what | CPU s |", "|---|---|"]
    rows += [
        f"| {label} | {seconds:.3f} |" for label, seconds in takeover_lines(cost_model)
    ]
    return [*rows, ""]


def _slope_section(cost_model: CostModel, result: dict) -> list[str]:
    rows = [
        f"### Slopes (`{result['command']}`, commit {result['commit']}, "
        f"{result['n_repeats']} repeats a point)",
        "",
        "| unit | sizes | CPU us | bytes | memory bytes | spread | bend |",
        "|---|---|---|---|---|---|---|",
    ]
    for slope in cost_model.slopes.values():
        sizes = ", ".join(str(point["size"]) for point in slope["points"])
        rows.append(
            f"| {slope['unit']} | {sizes} | {slope['cpu_us_per_unit']:.1f} | "
            f"{slope['bytes_per_unit']:.0f} | {slope['memory_bytes_per_unit']:.0f} | "
            f"{slope['cpu_spread']:.2f} | {slope['cpu_bend']:.2f} |"
        )
    return [*rows, ""]


def computed_text(result: dict) -> str:
    """Render the computed part of the page."""
    cost_model = CostModel(result["slopes"])
    rows: list[str] = []
    for n_nodes in NODE_COUNTS:
        rows += _node_section(cost_model, n_nodes)
    rows += _table_section() + _range_section(cost_model)
    rows += _takeover_section(cost_model) + _slope_section(cost_model, result)
    return "\n".join(rows)


def main() -> int:
    """Write the computed part of the page, or return 1 if it is out of date."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--write", action="store_true")
    arguments = parser.parse_args()
    text = computed_text(json.loads(SLOPES.read_text(encoding="utf-8")))
    page = PAGE.read_text(encoding="utf-8")
    page_head, remainder = page.split(BEGIN)
    _, page_tail = remainder.split(END)
    updated_page = f"{page_head}{BEGIN}\n\n{text}\n{END}{page_tail}"
    if arguments.write:
        PAGE.write_text(updated_page, encoding="utf-8")
        return 0
    if updated_page != page:
        print("docs/CAPACITY.md doesn't match the slopes: run make capacity")
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
