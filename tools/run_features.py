"""Run all features, several at a time; failures that KNOWN-RED.txt lists don't count.

Each feature file runs in a behave process of its own. Its output is printed when it has
ended. Files named ``unruly_*`` run last, one at a time: their clients load the machine.
The last line of the output is the number of passed and failed scenarios.
"""

import argparse
import json
import os
import subprocess
import sys
import tempfile
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor, as_completed
from dataclasses import dataclass
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"
ALONE_PREFIX = "unruly_"
LOG_STARTS = ("LOG_DEBUG:", "LOG_INFO:")
# Characters of a failed feature's output that are printed again at the end.
MAX_FAILURE_CHARS = 6000
FOLDERS = (
    "libs/*/features",
    "platform/features",
    "programs/*/features",
    "standins/features",
    "specs/features",
    "features",
)


@dataclass(frozen=True, slots=True)
class Case:
    """Result of one scenario; ``name`` is ``file: scenario``."""

    name: str
    status: str


def read_known_red_names() -> frozenset[str]:
    """Return the scenario names in the ``test: NAME`` lines of KNOWN-RED.txt."""
    if not KNOWN_RED.exists():
        return frozenset()
    lines = KNOWN_RED.read_text(encoding="utf-8").splitlines()
    return frozenset(
        line.removeprefix("test:").strip() for line in lines if line.startswith("test:")
    )


@dataclass(frozen=True, slots=True)
class FeatureResult:
    """Cases and output of one feature file; whether behave itself ran."""

    path: Path
    cases: list[Case]
    output: str
    behave_ran: bool


def run_feature(path: Path, behave_arguments: list[str]) -> FeatureResult:
    """Run behave on one feature file.

    No report is an error of behave, unless ``behave_arguments`` select nothing there.
    """
    with tempfile.NamedTemporaryFile(suffix=".json") as report_file:
        command = [sys.executable, "-m", "behave", "-f", "json", "-o", report_file.name]
        command += ["-f", "progress3", "--no-color", "--no-skipped", *behave_arguments]
        completed = subprocess.run(
            [*command, path.name],
            cwd=path.parent,
            check=False,
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            text=True,
            errors="replace",
        )
        text = Path(report_file.name).read_text(encoding="utf-8")
    if not text.strip():
        behave_ran = completed.returncode == 0 and bool(behave_arguments)
        return FeatureResult(path, [], completed.stdout, behave_ran)
    cases = _make_cases(json.loads(text), path.parent)
    return FeatureResult(path, cases, drop_captured_logs(completed.stdout), True)


def run_features(
    paths: list[Path], n_jobs: int, behave_arguments: list[str]
) -> Iterator[FeatureResult]:
    """Run feature files, ``n_jobs`` at a time; yield each result when it has ended."""
    alone = [path for path in paths if path.name.startswith(ALONE_PREFIX)]
    with ThreadPoolExecutor(n_jobs) as pool:
        futures = [
            pool.submit(run_feature, path, behave_arguments)
            for path in paths
            if path not in alone
        ]
        for future in as_completed(futures):
            yield future.result()
    for path in alone:
        yield run_feature(path, behave_arguments)


def drop_captured_logs(output: str) -> str:
    """Remove the captured log lines of failed steps below level warning.

    A failed simulation has captured millions of them, and only the end of CI's output
    is kept. ``behave FILE`` in the feature's folder shows them.
    """
    lines = output.splitlines()
    return "\n".join(line for line in lines if not line.lstrip().startswith(LOG_STARTS))


def _make_cases(features: list[dict], folder: Path) -> list[Case]:
    cases = []
    for feature in features:
        path = Path(feature["location"].rsplit(":", 1)[0]).name
        relative_path = (folder / path).relative_to(ROOT)
        for element in feature.get("elements", ()):
            if element["type"] == "background":
                continue
            status = str(element.get("status", "untested"))
            cases.append(Case(f"{relative_path}: {element['name'].strip()}", status))
    return cases


def main() -> int:
    """Run the selected folders; print ``N passed, N failed`` as the last line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        "--only", help="run only features whose path contains this text"
    )
    parser.add_argument(
        "--jobs",
        type=int,
        default=max(1, (os.cpu_count() or 1) // 2),
        help="feature files to run at a time",
    )
    parser.add_argument("behave", nargs="*", help="further arguments for behave")
    arguments = parser.parse_args()
    paths = find_features(arguments.only or "")
    cases: list[Case] = []
    failed_results = []
    features_not_run = []
    for result in run_features(paths, arguments.jobs, arguments.behave):
        print(f"== {result.path.relative_to(ROOT)}\n{result.output}", flush=True)
        cases += result.cases
        if has_new_failure(result, read_known_red_names()):
            failed_results.append(result)
        if not result.behave_ran:
            features_not_run.append(result.path)
    # Often only the end of the output is kept, so failures are shown there again.
    for result in failed_results:
        path = result.path.relative_to(ROOT)
        print(f"== output of the failed {path}\n{result.output[-MAX_FAILURE_CHARS:]}")
    return print_report(cases, features_not_run)


def has_new_failure(result: FeatureResult, known_red_names: frozenset[str]) -> bool:
    """Return whether a scenario failed that KNOWN-RED.txt doesn't list."""
    passed = ("passed", "skipped")
    return not result.behave_ran or any(
        case.status not in passed and case.name not in known_red_names
        for case in result.cases
    )


def find_features(text: str) -> list[Path]:
    """Return the feature files whose path contains ``text``."""
    folders = sorted({f for pattern in FOLDERS for f in ROOT.glob(pattern)})
    paths = [path for folder in folders for path in sorted(folder.glob("*.feature"))]
    return [path for path in paths if text in str(path.relative_to(ROOT))]


def print_report(cases: list[Case], features_not_run: list[Path]) -> int:
    """Print failures, known ones separately, and the totals; return the exit code."""
    known_red_names = read_known_red_names()
    ran = [case for case in cases if case.status != "skipped"]
    for case in ran:
        if case.name in known_red_names:
            print(f"KNOWN RED ({case.status}): {case.name}")
    counted = [case for case in ran if case.name not in known_red_names]
    failed = [case for case in counted if case.status != "passed"]
    for case in failed:
        print(f"FAILED: {case.name}")
    for path in features_not_run:
        print(f"FAILED: behave did not run {path}")
    n_failed = len(failed) + len(features_not_run)
    print(f"{len(counted) - len(failed)} passed, {n_failed} failed")
    return 1 if n_failed or not counted else 0


if __name__ == "__main__":
    sys.exit(main())
