import re
import tempfile
from dataclasses import replace
from pathlib import Path

from behave import given, then

from berylcleat.host._operator_state import OperatorState
from berylcleat.host._settings import HostSettings, check_host_settings
from berylcleat.model import SettingsError, load_settings

TEMPLATE = Path(__file__).resolve().parents[4] / "deploy" / "settings.json"
SETTINGS = HostSettings("host-1", "dc-1", "a:1", "a:2", "a:3", "a:4", "a:5")
VALUE_BY_NAME = {
    "limits.cpuShare": "0.5",
    "limits.cores": "1.2",
    "bounds.graceS": "6",
    "bounds.evacuateMs": "5000",
    "bounds.maxStretchMs": "6000",
    "orders": "push",
    "platform.rowBytes": "65536",
    "cloud.duties|json": "[]",
    "contracts|json": '["base", "health"]',
}


@given("settings with a deadline of {deadline:g} and an allowance of {allowance:g}")
def step_settings(context, deadline, allowance):
    context.settings = replace(
        SETTINGS,
        evacuation_deadline_ms=deadline,
        evacuation_outage_allowance_ms=allowance,
    )


@then('they are rejected, naming "{field}", "{value}" and a remedy')
def step_rejected(context, field, value):
    try:
        check_host_settings(context.settings)
    except SettingsError as error:
        assert f"{field} is {value}" in error.message, error.message
        assert error.remedy, error
    else:
        raise AssertionError("accepted")


@given("the settings template, rendered {case} the bound")
def step_template(context, case):
    text = TEMPLATE.read_text(encoding="utf-8")
    section = r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}"
    text = re.sub(section, r"\2" if case == "with" else "", text)
    text = re.sub(
        r"\{\{([\w.|]+)\}\}", lambda match: VALUE_BY_NAME.get(match[1], "x"), text
    )
    with tempfile.NamedTemporaryFile("w", suffix=".json") as file:
        file.write(text)
        file.flush()
        context.settings = load_settings(Path(file.name), HostSettings)


@then("they are accepted, with evacuations: {has_evacuations}")
def step_accepted(context, has_evacuations):
    check_host_settings(context.settings)
    state = OperatorState(context.settings.evacuation_rules)
    assert state.has_evacuations == (has_evacuations == "yes")
