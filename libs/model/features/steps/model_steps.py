from behave import then, when

from berylcleat.model import (
    BerylError,
    ConfigDocument,
    JobSpec,
    Rule,
    Service,
    check_job,
    effective_services,
    parse_document,
    parse_selector,
)


def capture_outcome(context, function):
    try:
        context.value, context.error = function(), None
    except BerylError as error:
        context.value, context.error = None, error


@when("the document {text} is parsed as a job")
def when_parsed(context, text):
    capture_outcome(context, lambda: parse_document(text, JobSpec, source="file"))


@when("the document {text} is checked as a job")
def when_checked(context, text):
    capture_outcome(
        context, lambda: check_job(parse_document(text, JobSpec, source="file"))
    )


@then('it is rejected with an error containing "{text}"')
def then_rejected(context, text):
    assert context.error, context.value
    assert text in str(context.error), context.error
    assert context.error.remedy


@then("it is accepted")
def then_accepted(context):
    assert context.value.n_tasks == 2, context.error


@then('matching "{selector}" with labels {labels} gives {result}')
def then_selector_matches(context, selector, labels, result):
    pairs = dict(pair.split("=") for pair in labels.split(","))
    assert parse_selector(selector).matches(pairs) == (result == "yes")


@then("a later rule overrides only the fields that it sets")
def then_later_rule_wins(context):
    services = (Service("a", {"o": "n"}), Service("b", {"o": "m"}))
    rules = (
        Rule("o=n", priority=1, placement="rack=r1"),
        Rule("o=n", priority=2),
        Rule("o", kind="job", priority=9),
    )
    service_by_name = effective_services(ConfigDocument(1, "", services, rules))
    assert (service_by_name["a"].priority, service_by_name["a"].placement) == (
        2,
        "rack=r1",
    )
    assert (service_by_name["b"].priority, service_by_name["b"].placement) == (100, "*")
