"""Fast startup of an entry: open the packet port before importing the rest.

During the imports, packets queue in the socket's receive buffer instead of being
lost. After a power loss of the whole site, callers retransmit at once, and a
packet lost then delays its request by up to 1.6 s.
"""

from __future__ import annotations

import gc
import os
import socket

from ..direct.settings import DirectSettings, SettingsError

EXIT_BAD_SETTINGS = 3
EXIT_UNAVAILABLE = 6

# Holds several thousand packets: those of one second of startup or of a pause.
RECEIVE_BUFFER_BYTES = 4 * 1024 * 1024


def start(settings_path: str) -> int:
    """Run an entry until it is stopped; return its exit status."""
    # Startup allocates mostly long-lived objects, so collections would free little.
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
        os.write(2, f"cannot open port {settings.packets}: {exc}\n".encode())
        return EXIT_UNAVAILABLE
    from .entry import run  # noqa: PLC0415 (the port is open before the import)

    try:
        run(settings, settings_path, sock)
    except OSError as exc:
        os.write(2, f"cannot open port {settings.readiness}: {exc}\n".encode())
        return EXIT_UNAVAILABLE
    return 0


def open_port(address: tuple[str, int]) -> socket.socket:
    """Open the UDP port for callers' packets."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    sock.setblocking(False)
    sock.bind(address)
    return sock
