"""The first steps of an entry: open its port, then import the rest.

While the rest is imported, packets wait in the socket's buffer and are not lost;
after a power loss of the whole site callers send again at once, and a packet
lost then costs its request up to 1.6 s.
"""

from __future__ import annotations

import gc
import os
import socket

from ..direct.settings import DirectSettings, SettingsError

EXIT_BAD_SETTINGS = 3
EXIT_UNAVAILABLE = 6

# Some thousand packets: what comes within a second of start-up or of a pause.
RECEIVE_BUFFER_BYTES = 4 * 1024 * 1024


def start(settings_path: str) -> int:
    """Run an entry until it is told to stop; return its exit status."""
    # Start-up allocates much that stays; collecting in it finds nothing.
    gc.disable()
    try:
        settings = DirectSettings.load(settings_path)
    except SettingsError as exc:
        for problem in exc.problems:
            os.write(2, f"{settings_path}: {problem}\n".encode())
        return EXIT_BAD_SETTINGS
    try:
        sock = open_port(settings.packets)
    except OSError as exc:
        os.write(2, f"{settings.packets}: it can not be opened: {exc}\n".encode())
        return EXIT_UNAVAILABLE
    from .entry import run  # noqa: PLC0415 (the port is open before the import)

    try:
        run(settings, settings_path, sock)
    except OSError as exc:
        os.write(2, f"{settings.readiness}: it can not be opened: {exc}\n".encode())
        return EXIT_UNAVAILABLE
    return 0


def open_port(address: tuple[str, int]) -> socket.socket:
    """Open the port that packets come to."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    sock.setblocking(False)
    sock.bind(address)
    return sock
