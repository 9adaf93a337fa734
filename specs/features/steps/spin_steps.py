import re
import subprocess
import tempfile
from pathlib import Path

from behave import then, when

SPECIFICATION = Path(__file__).resolve().parents[2] / "ownership.pml"
MEMORY_MB = 4000


def run_command(command, folder):
    completed = subprocess.run(
        command, cwd=folder, capture_output=True, text=True, check=False
    )
    return completed.stdout + completed.stderr


@when('the specification is model-checked with "{bounds}"')
def when_model_checked(context, bounds):
    defines = [f"-D{word}" for word in bounds.split()]
    with tempfile.TemporaryDirectory() as folder:
        output = run_command(["spin", "-a", *defines, str(SPECIFICATION)], folder)
        assert (Path(folder) / "pan.c").exists(), output
        flags = ["-O2", "-DSAFETY", "-DCOLLAPSE", "-DVECTORSZ=2048"]
        flags.append(f"-DMEMLIM={MEMORY_MB}")
        output = run_command(["gcc", *flags, "-o", "pan", "pan.c"], folder)
        assert (Path(folder) / "pan").exists(), output
        context.checker_output = run_command(
            ["./pan", "-E", "-m200000", "-w24"], folder
        )


@then("the search is complete and finds no error")
def then_no_error(context):
    assert "errors: 0" in context.checker_output, context.checker_output
    assert "Search not completed" not in context.checker_output, context.checker_output
    assert "max search depth too small" not in context.checker_output, (
        context.checker_output
    )
    n_states = int(re.search(r"(\d+) states, stored", context.checker_output).group(1))
    assert n_states > 1000, n_states


@then("the search finds an invariant violation")
def then_invariant_violated(context):
    assert "errors: 1" in context.checker_output, context.checker_output
    assert "assertion violated" in context.checker_output, context.checker_output
