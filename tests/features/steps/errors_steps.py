from behave import then

from kumquatshift.errors import ERROR_CODES, ErrorKind


@then("every error kind has exactly one answer")
def step_every_kind_answered(context):
    assert set(ERROR_CODES) == set(ErrorKind)
