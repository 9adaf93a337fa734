import subprocess
import sys
from pathlib import Path

from behave import then, when

ROOT = Path(__file__).resolve().parents[2]


@when("the capacity page is recomputed")
def when_recomputed(context):
    command = [sys.executable, str(ROOT / "tools" / "capacity_page.py")]
    context.completed = subprocess.run(
        command, capture_output=True, text=True, check=False
    )


@then("the page does not change")
def then_same(context):
    assert context.completed.returncode == 0, (
        context.completed.stdout + context.completed.stderr
    )
