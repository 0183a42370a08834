"""Sample files and the page of settings, made from the declarations.

``python -m kumquatshift.settings.sample`` writes them all again.
"""

import textwrap
from dataclasses import dataclass
from pathlib import Path

from .bench import BenchSettings
from .ctl import CtlSettings
from .declare import FreeKeys, Key, Section, sections_of
from .entry import EntrySettings
from .read import ProgramSettings
from .standins import (
    FabricStandinSettings,
    PlatformStandinSettings,
    TargetStandinSettings,
)

ROOT = Path(__file__).resolve().parents[2]
WIDTH_CHARS = 78


@dataclass(frozen=True)
class Sample:
    """One program, and the stem of its sample file in ``extras/``."""

    stem: str
    command: str
    program: type[ProgramSettings]

    @property
    def path(self) -> Path:
        """Where the sample file stands."""
        return ROOT / "extras" / f"{self.stem}.ini"


SAMPLES = (
    Sample("entry", "kumquat-entry", EntrySettings),
    Sample("ctl", "kumquat-ctl", CtlSettings),
    Sample("bench", "kumquat-bench", BenchSettings),
    Sample("platform", "kumquat-standin platform", PlatformStandinSettings),
    Sample("fabric", "kumquat-standin fabric", FabricStandinSettings),
    Sample("target", "kumquat-standin target", TargetStandinSettings),
)
PAGE_PATH = ROOT / "docs" / "SETTINGS.md"

PAGE_HEAD = """# Settings

Made by `python -m kumquatshift.settings.sample` from the declarations in
`kumquatshift/settings/`; the sample files in `extras/` come from there too.

Every program reads one INI file and checks it as a whole before it does
anything else. Each mistake is listed with its section and key, what was found
and what is allowed; an unknown key or section is a mistake, told with the
nearest known name. With any mistake nothing is started and the exit status
is 3. `--check` checks a file alone; `kumquat-ctl check FILE` does so for its own.

A key without a default must be given. An address that is not a loopback
address needs a digest key and certificates, see [KEYS.md](KEYS.md).
"""


def sample_text(sample: Sample) -> str:
    """Return the text of a sample file."""
    head = f"Settings of {sample.command}. A key that is left out has its default."
    parts = [_comment(head)]
    for section in sections_of(sample.program):
        parts += ["", f"[{section.name}]", _comment(section.help)]
        for key in section.keys:
            parts += ["", _comment(_described(key)), _assignment(key)]
        if section.free:
            parts += ["", *_free_lines(section.free)]
    return "\n".join(parts) + "\n"


def page_text() -> str:
    """Return the text of the page of settings."""
    parts = [PAGE_HEAD]
    for sample in SAMPLES:
        parts.append(f"## {sample.command}\n")
        parts.append(f"Sample: `extras/{sample.stem}.ini`.\n")
        parts += [_section_table(part) for part in sections_of(sample.program)]
    return "\n".join(parts)


def main() -> None:
    """Write all sample files and the page."""
    for sample in SAMPLES:
        sample.path.parent.mkdir(exist_ok=True)
        sample.path.write_text(sample_text(sample))
    PAGE_PATH.write_text(page_text())


def _comment(text: str) -> str:
    lines = textwrap.wrap(text, WIDTH_CHARS - 2)
    return "\n".join(f"# {line}" for line in lines)


def _described(key: Key) -> str:
    unit = f" ({key.unit})" if key.unit else ""
    default = " Must be given."
    if key.default is not None:
        default = f" Default: {key.default or 'empty'}."
    return f"{key.help} Allowed: {key.type.allowed}{unit}.{default}"


def _assignment(key: Key) -> str:
    return f"{key.name} = {key.example or key.default or ''}".rstrip()


def _free_lines(free: FreeKeys) -> list[str]:
    lines = [_comment(f"{free.help} Form: {free.form}.")]
    return lines + [f"{name} = {text}" for name, text in free.example]


def _section_table(section: Section) -> str:
    rows = [f"### [{section.name}]", "", section.help, ""]
    rows += ["| key | default | unit | allowed | meaning |"]
    rows += ["| --- | --- | --- | --- | --- |"]
    for key in section.keys:
        cells = (_code(key.name), _default(key), key.unit, key.type.allowed, key.help)
        rows.append(_row(cells))
    if section.free:
        free = section.free
        rows.append(_row((_code(free.form), "none", "", free.type.allowed, free.help)))
    return "\n".join(rows) + "\n"


def _row(cells: tuple[str, ...]) -> str:
    escaped = (cell.replace("|", "\\|") for cell in cells)
    return "| " + " | ".join(escaped) + " |"


def _code(text: str) -> str:
    return f"`{text}`"


def _default(key: Key) -> str:
    if key.default is None:
        return "must be given"
    return _code(key.default) if key.default else "empty"


if __name__ == "__main__":
    main()
