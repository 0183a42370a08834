import re
import tomllib
from pathlib import Path

from behave import then

ROOT = Path(__file__).resolve().parents[3]
LINK = re.compile(r"\]\(([^)#:]+)\)")


def pages():
    return [*ROOT.glob("*.md"), *(ROOT / "docs").glob("*.md")]


@then("every link in the documentation leads to a file")
def step_links(context):
    linked = [
        page.parent / link
        for page in pages()
        for link in LINK.findall(page.read_text())
    ]
    assert linked
    missing = [str(path) for path in linked if not path.exists()]
    assert not missing, missing


@then("every make target that the README names exists")
def step_targets(context):
    readme = (ROOT / "README.md").read_text()
    named = set(re.findall(r"(?:^    |`)make ([a-z]+)", readme, re.M))
    targets = set(re.findall(r"^([a-z]+):", (ROOT / "Makefile").read_text(), re.M))
    assert named and named <= targets, named - targets


@then("every program that the README names is a script of the package")
def step_scripts(context):
    named = set(re.findall(r"kumquat-[a-z]+", (ROOT / "README.md").read_text()))
    project = tomllib.loads((ROOT / "pyproject.toml").read_text())
    assert named == set(project["project"]["scripts"]), named
