"""Reads an INI file into its sections."""

import configparser


def read_sections(path):
    """Return the sections of the INI file at ``path``, each a mapping.

    Raises OSError when it cannot be read, and ``configparser.Error`` when it
    is not an INI file. Names keep their case.
    """
    parser = configparser.ConfigParser(interpolation=None)
    parser.optionxform = str
    with open(path, encoding="utf-8") as file:
        parser.read_file(file)
    return {name: dict(parser[name]) for name in parser.sections()}
