import re
import subprocess
import tempfile
from pathlib import Path

from behave import then, when

SPECIFICATION = Path(__file__).resolve().parents[2] / "ownership.pml"
MEMORY_MB = 4000


def run(command, folder):
    done = subprocess.run(
        command, cwd=folder, capture_output=True, text=True, check=False
    )
    return done.stdout + done.stderr


@when('the specification is searched with "{bounds}"')
def when_searched(context, bounds):
    defines = [f"-D{word}" for word in bounds.split()]
    with tempfile.TemporaryDirectory() as folder:
        text = run(["spin", "-a", *defines, str(SPECIFICATION)], folder)
        assert (Path(folder) / "pan.c").exists(), text
        flags = ["-O2", "-DSAFETY", "-DCOLLAPSE", "-DVECTORSZ=2048"]
        flags.append(f"-DMEMLIM={MEMORY_MB}")
        text = run(["gcc", *flags, "-o", "pan", "pan.c"], folder)
        assert (Path(folder) / "pan").exists(), text
        context.search = run(["./pan", "-E", "-m200000", "-w24"], folder)


@then("the search is complete and finds no error")
def then_clean(context):
    assert "errors: 0" in context.search, context.search
    assert "Search not completed" not in context.search, context.search
    assert "max search depth too small" not in context.search, context.search
    n_states = int(re.search(r"(\d+) states, stored", context.search).group(1))
    assert n_states > 1000, n_states


@then("the search finds a task in two places")
def then_broken(context):
    assert "errors: 1" in context.search, context.search
    assert "assertion violated" in context.search, context.search
