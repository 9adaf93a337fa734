"""Run all behave folders; failures that KNOWN-RED.txt lists don't count.

The last line of the output is the number of passed and failed scenarios.
"""

import argparse
import json
import subprocess
import sys
import tempfile
from dataclasses import dataclass
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"
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


def run_folder(folder: Path, behave_arguments: list[str]) -> tuple[list[Case], bool]:
    """Run behave in ``folder``; return its cases and whether behave itself ran.

    No report is an error of behave, unless ``behave_arguments`` select nothing there.
    """
    with tempfile.NamedTemporaryFile(suffix=".json") as report_file:
        command = [sys.executable, "-m", "behave", "-f", "json", "-o", report_file.name]
        command += [
            "-f",
            "progress3",
            "--no-color",
            "--no-skipped",
            *behave_arguments,
            ".",
        ]
        completed = subprocess.run(command, cwd=folder, check=False)
        text = Path(report_file.name).read_text(encoding="utf-8")
    if not text.strip():
        return [], completed.returncode == 0 and bool(behave_arguments)
    return _make_cases(json.loads(text), folder), True


def _make_cases(features: list[dict], folder: Path) -> list[Case]:
    cases = []
    for feature in features:
        path = Path(feature["location"].rsplit(":", 1)[0]).name
        relative_path = (folder / path).relative_to(ROOT)
        for element in feature.get("elements", ()):
            if element["type"] == "background":
                continue
            status = str(element.get("status", "untested"))
            cases.append(Case(f"{relative_path}: {element['name']}", status))
    return cases


def main() -> int:
    """Run the selected folders; print ``N passed, N failed`` as the last line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--only", help="run only folders whose path contains this text")
    parser.add_argument("behave", nargs="*", help="further arguments for behave")
    arguments = parser.parse_args()
    folders = sorted({f for pattern in FOLDERS for f in ROOT.glob(pattern)})
    cases: list[Case] = []
    folders_not_run = []
    for folder in folders:
        if arguments.only and arguments.only not in str(folder.relative_to(ROOT)):
            continue
        print(f"== {folder.relative_to(ROOT)}", flush=True)
        folder_cases, behave_ran = run_folder(folder, arguments.behave)
        cases += folder_cases
        if not behave_ran:
            folders_not_run.append(folder)
    return print_report(cases, folders_not_run)


def print_report(cases: list[Case], folders_not_run: list[Path]) -> int:
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
    for folder in folders_not_run:
        print(f"FAILED: behave did not run in {folder}")
    n_failed = len(failed) + len(folders_not_run)
    print(f"{len(counted) - len(failed)} passed, {n_failed} failed")
    return 1 if n_failed or not counted else 0


if __name__ == "__main__":
    sys.exit(main())
