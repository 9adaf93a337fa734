"""Run every behave folder, pass over the cases in KNOWN-RED.txt, print the sum."""

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
    """Hold the verdict on one scenario; ``name`` is ``file: scenario``."""

    name: str
    status: str


def known_red_names() -> frozenset[str]:
    """Return the names in lines ``test: NAME`` of KNOWN-RED.txt."""
    if not KNOWN_RED.exists():
        return frozenset()
    lines = KNOWN_RED.read_text(encoding="utf-8").splitlines()
    return frozenset(
        line.removeprefix("test:").strip() for line in lines if line.startswith("test:")
    )


def run_folder(folder: Path, extra: list[str]) -> tuple[list[Case], bool]:
    """Run one folder; return its cases and whether behave itself worked."""
    with tempfile.NamedTemporaryFile(suffix=".json") as report:
        command = [sys.executable, "-m", "behave", "-f", "json", "-o", report.name]
        command += ["-f", "progress3", "--no-color", "--no-skipped", *extra, "."]
        done = subprocess.run(command, cwd=folder, check=False)
        text = Path(report.name).read_text(encoding="utf-8")
    if not text.strip():
        return [], done.returncode == 0 and bool(extra)
    return _cases(json.loads(text), folder), True


def _cases(features: list[dict], folder: Path) -> list[Case]:
    cases = []
    for feature in features:
        path = Path(feature["location"].rsplit(":", 1)[0]).name
        place = (folder / path).relative_to(ROOT)
        for element in feature.get("elements", ()):
            if element["type"] == "background":
                continue
            status = str(element.get("status", "untested"))
            cases.append(Case(f"{place}: {element['name']}", status))
    return cases


def main() -> int:
    """Run all folders and print ``N passed, N failed`` as the last line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--only", help="run only folders whose path has this text")
    parser.add_argument("behave", nargs="*", help="further words for behave")
    arguments = parser.parse_args()
    folders = sorted({f for pattern in FOLDERS for f in ROOT.glob(pattern)})
    cases: list[Case] = []
    broken = []
    for folder in folders:
        if arguments.only and arguments.only not in str(folder.relative_to(ROOT)):
            continue
        print(f"== {folder.relative_to(ROOT)}", flush=True)
        found, worked = run_folder(folder, arguments.behave)
        cases += found
        if not worked:
            broken.append(folder)
    return report(cases, broken)


def report(cases: list[Case], broken: list[Path]) -> int:
    """Print failures, known ones apart, and the sum."""
    known = known_red_names()
    ran = [case for case in cases if case.status != "skipped"]
    for case in ran:
        if case.name in known:
            print(f"KNOWN RED ({case.status}): {case.name}")
    counted = [case for case in ran if case.name not in known]
    failed = [case for case in counted if case.status != "passed"]
    for case in failed:
        print(f"FAILED: {case.name}")
    for folder in broken:
        print(f"FAILED: behave did not run in {folder}")
    n_failed = len(failed) + len(broken)
    print(f"{len(counted) - len(failed)} passed, {n_failed} failed")
    return 1 if n_failed or not counted else 0


if __name__ == "__main__":
    sys.exit(main())
