import gc
import io
import json
import logging

from behave import given, then, when
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from kumquatshift.logs import Part, RateLimited, logger_for, setup
from kumquatshift.settings.common import KeysSection, LogFormat, LogLevel
from kumquatshift.settings.values import Secret

SECRET = Secret(bytes(range(200, 232)))
TEXTS = {
    "line breaks": "one\ntwo\r\nthree\u2028four\x85five",
    "escape sequences": "\x1b[2J\x07",
    "braces": "{0} {level} {",
    "colour markup": "<red>red</red>",
}


def start(context, log_format, level, secrets=()):
    context.log_stream = io.StringIO()
    context.log_clock = Clock()
    setup(LogLevel(level), LogFormat(log_format), context.log_stream, secrets)


def lines(context):
    return [line for line in context.log_stream.getvalue().split("\n") if line]


@given('logs in the format "{log_format}" at level "{level}"')
def step_start(context, log_format, level):
    start(context, log_format, level)


@given('logs in the format "{log_format}" at level "{level}" with a digest key')
def step_start_secret(context, log_format, level):
    start(context, log_format, level, (SECRET, None))


@when('part "{part}" logs a warning "{text}"')
def step_warn(context, part, text):
    logger_for(part).warning(text)


@when('part "{part}" logs a warning with {text} from a packet')
def step_warn_text(context, part, text):
    logger_for(part).warning("A packet says {}.", TEXTS[text])


@when('part "{part}" logs the digest key as {shape}')
def step_log_secret(context, part, shape):
    log = logger_for(part)
    if shape == "settings":
        log.info("The keys are {}.", KeysSection(SECRET, None))
    elif shape == "hexadecimal digits":
        log.info("The key is {}.", SECRET.value.hex())
        log.info("The key is {}.", SECRET.value.hex().upper())
    elif shape == "raw bytes":
        log.info("The key is {}.", SECRET.value)
    else:
        log_error(log, shape)


def log_error(log, shape):
    key = SECRET.value
    try:
        text = key.hex() if shape == "an error's text" else "no text"
        raise ValueError(text) from OSError(repr(key) if "text" in shape else "")
    except ValueError:
        log.exception("A change failed.")


@then("the log shows no digest key")
def step_no_secret(context):
    shown = context.log_stream.getvalue()
    assert lines(context)
    for hidden in (SECRET.value.hex(), SECRET.value.hex().upper(), repr(SECRET.value)):
        assert hidden not in shown, shown
    assert "xcd" not in shown.replace("\\", ""), shown


@when("the standard logging reports a failure")
def step_logging(context):
    logging.getLogger("some.library").error("it went %s", "wrong")


@when("an abandoned Deferred reports a failure")
def step_deferred(context):
    deferred = Deferred()
    deferred.errback(RuntimeError("it went wrong"))
    del deferred
    gc.collect()


@then("the log has the failure's text")
def step_failure(context):
    shown = context.log_stream.getvalue()
    assert "it went wrong" in shown, shown


@then('there is no logger for the part "{part}"')
def step_unknown_part(context, part):
    try:
        logger_for(part)
    except ValueError:
        return
    raise AssertionError(part)


@given("a limit of one line per {interval_s:d} s")
def step_limit(context, interval_s):
    log = logger_for(Part.PACKETS)
    context.limited = RateLimited(log, context.log_clock, interval_s)


@when('{count:d} limited lines of "{key}" are logged within {span_s:d} s')
def step_limited(context, count, key, span_s):
    for _ in range(count):
        context.limited.warning(key, "A packet is dropped: {}.", key)
        context.log_clock.advance(span_s / count)


@when("limited lines of {count:d} kinds are logged")
def step_limited_kinds(context, count):
    for number in range(count):
        context.limited.warning(number, "A packet is dropped: {}.", number)


@when("the log's clock advances by {span_s:d} s")
def step_advance(context, span_s):
    context.log_clock.advance(span_s)


@then("the log holds {count:d} lines")
def step_count(context, count):
    assert len(lines(context)) == count, lines(context)[-5:]


@then("the log holds at most {count:d} lines")
def step_at_most(context, count):
    assert 1 < len(lines(context)) <= count, len(lines(context))


@then('the last log line has "{text}"')
def step_last(context, text):
    assert any(text in line for line in lines(context)[-1:]), lines(context)
    if lines(context)[-1].startswith("{"):
        json.loads(lines(context)[-1])


@then('a log line has "{text}"')
def step_any(context, text):
    assert any(text in line for line in lines(context)), lines(context)


@then('the last log line has ""')
def step_no_last(context):
    assert not lines(context)
