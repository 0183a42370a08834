from behave import then

from kumquatshift.errors import ANSWERS, ErrorKind


@then("every error kind has exactly one answer")
def step_every_kind_answered(context):
    assert set(ANSWERS) == set(ErrorKind)
