"""Generate the settings files of all processes of the demo.

Reads ``site.ini`` and the templates next to it, and writes to the given directory
(default: build/demo).
"""

import configparser
import secrets
import sys
from pathlib import Path
from string import Template

HERE = Path(__file__).resolve().parent
DEFAULT_DIR = Path("build/demo")
KEY_BYTES = 32
BLOCK = 0


def read_text(name, block):
    """Return the text of a file of the demo, with its addresses in 127.``block``."""
    return (HERE / name).read_text().replace(f"127.{BLOCK}.", f"127.{block}.")


def read_site(block=BLOCK):
    """Return the sections of ``site.ini`` as dictionaries."""
    parser = configparser.ConfigParser(interpolation=None)
    parser.optionxform = str
    parser.read_string(read_text("site.ini", block))
    return {name: dict(parser[name]) for name in parser.sections()}


def lines(mapping):
    """Format a mapping as the lines of an INI section."""
    return "\n".join(f"{name} = {value}" for name, value in mapping.items())


class Preparation:
    """Fills in the templates for the site, and writes them to one directory."""

    def __init__(self, block, directory):
        self.site = site = read_site(block)
        self.objects = read_text("objects.ini", block)
        self.directory = directory
        self.key = secrets.token_hex(KEY_BYTES)
        platform = site["platform"]
        self.platform = f"http://{platform['address']}:{platform['port']}"

    def write(self, stem, template, **values):
        """Write one settings file."""
        text = (HERE / "templates" / f"{template}.ini").read_text()
        path = self.directory / f"{stem}.ini"
        path.write_text(Template(text).substitute(values))

    def write_all(self):
        """Write the settings files of all processes."""
        self.directory.mkdir(parents=True, exist_ok=True)
        (self.directory / "objects.ini").write_text(self.objects)
        self.write_platform()
        self.write_entries()
        self.write_targets()
        entries = lines(
            {
                name: text.replace(" ", " entry ")
                for name, text in self.site["entries"].items()
            }
        )
        services = lines(self.site["services"])
        self.write(
            "fabric",
            "fabric",
            **self.site["fabric"],
            services=services,
            entries=entries,
        )
        load = lines(self.site["bench"])
        self.write(
            "bench", "bench", load=load, platform=self.platform, services=services
        )

    def write_platform(self):
        """Write the settings file of the platform, which lists all VMs."""
        rows = []
        for name, text in self.site["entries"].items():
            domain, address = text.split()
            rows.append(f"{name} = {domain} entry {address}")
        for name, text in self.site["targets"].items():
            domain, _, address = text.split()
            rows.append(f"{name} = {domain} target {address}")
        self.write("platform", "platform", **self.site["platform"], vms="\n".join(rows))

    def write_entries(self):
        """Write a settings file for each entry."""
        for name, text in self.site["entries"].items():
            domain, address = text.split()
            self.write(
                name,
                "entry",
                name=name,
                domain=domain,
                address=address,
                fabric=self.site["fabric"]["address"],
                platform=self.platform,
                peers=lines(self.site["entries"]),
                key=self.key,
            )

    def write_targets(self):
        """Write a settings file for each target."""
        for name, text in self.site["targets"].items():
            _, service, address = text.split()
            self.write(
                name,
                "target",
                name=name,
                service=service,
                address=address,
                fabric=self.site["fabric"]["address"],
                listener=self.site["services"][service],
            )


def main(args):
    """Write all files to the directory given as an argument."""
    directory = Path(args[0]) if args else DEFAULT_DIR
    Preparation(BLOCK, directory).write_all()
    print(f"Wrote the settings files to {directory}.")


if __name__ == "__main__":
    main(sys.argv[1:])
