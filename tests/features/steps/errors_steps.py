from behave import then

from kumquatshift.errors import ERROR_CODES, ErrorKind


@then("every error kind has exactly one response code")
def step_every_kind_has_code(context):
    assert set(ERROR_CODES) == set(ErrorKind)
