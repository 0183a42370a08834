import io
import tempfile
from functools import reduce
from pathlib import Path

from behave import given, then, when
from hypothesis import given as for_all, settings as hypothesis_settings, strategies
from returns.pipeline import is_successful
from returns.result import Result

from kumquatshift.context import Environment
from kumquatshift.settings import EntrySettings, check
from kumquatshift.settings.sample import PAGE_PATH, SAMPLES, page_text, sample_text
from kumquatshift.status import ExitStatus

KEY = "00112233445566778899aabbccddeeff"
MANDATORY = {
    "entry": ["name = e1", "domain = a", "address = 127.13.0.1"],
    "fabric": ["address = 127.13.0.2"],
}
CREDENTIALS = {
    "a key": ("keys", [f"current = {KEY}"]),
    "certificates": ("tls", ["ca = a.pem", "certificate = b.pem", "key = c.pem"]),
}


def render(sections):
    blocks = [[f"[{name}]", *lines] for name, lines in sections.items()]
    return "\n".join(line for block in blocks for line in block)


def load(context):
    return EntrySettings.from_text(render(context.sections))


def problems_of(result):
    return [str(problem) for problem in result.failure()]


def by_stem(stem):
    return next(sample for sample in SAMPLES if sample.stem == stem)


@then('the sample settings "{stem}" match the declarations')
def step_sample_current(context, stem):
    sample = by_stem(stem)
    assert sample.path.read_text() == sample_text(sample)


@then('the sample settings "{stem}" load without a problem')
def step_sample_loads(context, stem):
    sample = by_stem(stem)
    result = sample.program.load(sample.path)
    assert is_successful(result), problems_of(result)


@then("the settings page matches the declarations")
def step_page_current(context):
    assert PAGE_PATH.read_text() == page_text()


@given("entry settings with only the mandatory keys")
def step_mandatory(context):
    context.sections = {name: list(lines) for name, lines in MANDATORY.items()}


@given('entry settings for the address "{address}" with {credentials}')
def step_credentials(context, address, credentials):
    step_mandatory(context)
    context.sections["entry"][2] = f"address = {address}"
    for name in credentials.split(", "):
        if name != "nothing":
            section, lines = CREDENTIALS[name]
            context.sections[section] = lines


@given('in section "{section}" the settings line "{line}"')
def step_line(context, section, line):
    context.sections.setdefault(section, []).append(line)


@then("the settings load")
def step_loads(context):
    result = load(context)
    assert is_successful(result), problems_of(result)
    context.settings = result.unwrap()


@then('the settings value "{path}" is "{value}"')
def step_value(context, path, value):
    found = reduce(getattr, path.split("."), context.settings)
    assert str(found) == value, found


@then('loading the settings gives "{text}"')
def step_result(context, text):
    if text == "no problem":
        step_loads(context)
        return
    problems = problems_of(load(context))
    assert any(text in problem for problem in problems), problems


@then('the settings have {count:d} problems in "{names}"')
def step_all_problems(context, count, names):
    problems = load(context).failure()
    assert len(problems) == count, problems
    assert {problem.section for problem in problems} == set(names.split(", "))


@given("a settings file of {kind}")
def step_file(context, kind):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    path = Path(folder.name) / "entry.ini"
    if kind == "a directory":
        path.mkdir()
    elif kind == "bytes":
        path.write_bytes(b"\xff\xfe\x00")
    elif kind == "an empty text":
        path.write_text("")
    elif kind == "a valid text":
        path.write_text(render(MANDATORY))
    context.path = str(path)


@when("the settings file is checked")
def step_check(context):
    stream = io.StringIO()
    env = Environment(stdout=stream, stderr=stream)
    context.status = check(EntrySettings, context.path, env)
    context.output = stream.getvalue()


@then('the settings check exits with {status} and prints "{text}"')
def step_check_exit(context, status, text):
    assert context.status is ExitStatus[status], context.status
    assert text in context.output, context.output


@then("no printed form of the settings shows the key")
def step_key_hidden(context):
    current_key = context.settings.keys.current
    assert current_key.value == bytes.fromhex(KEY)
    for shown in (repr(context.settings), str(context.settings.keys), str(current_key)):
        assert KEY not in shown and repr(current_key.value) not in shown, shown


@then("random settings texts give settings or problems")
def step_any_text(context):
    names = strategies.sampled_from(["[entry]", "[keys]", "[peers]", "name", "port"])
    unusual = strategies.text(alphabet="=:[]#\n\t ;%\0é1", max_size=12)
    lines = strategies.lists(names | unusual | strategies.text(max_size=8), max_size=12)

    @hypothesis_settings(max_examples=300, deadline=None, derandomize=True)
    @for_all(lines, strategies.sampled_from(["", "\n", " = "]))
    def check_text(parts, joint):
        assert isinstance(EntrySettings.from_text(joint.join(parts)), Result)

    check_text()
