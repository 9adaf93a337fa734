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


def attempt(context, action):
    try:
        context.value, context.error = action(), None
    except BerylError as error:
        context.value, context.error = None, error


@when("the document {text} is parsed as a job")
def when_parsed(context, text):
    attempt(context, lambda: parse_document(text, JobSpec, source="file"))


@when("the document {text} is checked as a job")
def when_checked(context, text):
    attempt(context, lambda: check_job(parse_document(text, JobSpec, source="file")))


@then('it is refused with "{place}"')
def then_refused(context, place):
    assert context.error, context.value
    assert place in str(context.error), context.error
    assert context.error.remedy


@then("it is accepted")
def then_accepted(context):
    assert context.value.n_tasks == 2, context.error


@then('"{selector}" against {labels} gives {result}')
def then_matches(context, selector, labels, result):
    pairs = dict(pair.split("=") for pair in labels.split(","))
    assert parse_selector(selector).matches(pairs) == (result == "yes")


@then("a later rule overrides an earlier one field by field")
def then_order(context):
    services = (Service("a", {"o": "n"}), Service("b", {"o": "m"}))
    rules = (
        Rule("o=n", priority=1, placement="rack=r1"),
        Rule("o=n", priority=2),
        Rule("o", kind="job", priority=9),
    )
    found = effective_services(ConfigDocument(1, "", services, rules))
    assert (found["a"].priority, found["a"].placement) == (2, "rack=r1")
    assert (found["b"].priority, found["b"].placement) == (100, "*")
