"""A peer of a takeover in a process of its own, which closes its link and lives on until it is killed.

Usage: ``python -m tests.handover_peer successor PATH`` or ``... predecessor PATH PACKET...``, where the
packets are those that the predecessor sends before it closes the link.  It prints a line when the other
process may connect or is asked to hand over, and one when its link is closed.
"""

from __future__ import annotations

import socket
import sys
import time

TAKE = b'{"v":1,"say":"take"}\n'
MAX_LIFE_SECONDS = 60.0  # if the test does not kill it


def act_as_successor(path: str) -> None:
    """Take over, and close the link once the other process has handed over."""
    with socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET) as link:
        link.connect(path)
        print("ready", flush=True)
        link.send(TAKE)
        while b'"say":"yours"' not in link.recv(65536):
            pass


def act_as_predecessor(path: str, packets: list[str]) -> None:
    """Send the packets to the process that takes over, and close the link."""
    with socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET) as listening_socket:
        listening_socket.bind(path)
        listening_socket.listen(1)
        print("ready", flush=True)
        link, _ = listening_socket.accept()
    with link:
        assert link.recv(65536) == TAKE
        for packet in packets:
            link.send(packet.encode())


if __name__ == "__main__":
    role, socket_path, *sent_packets = sys.argv[1:]
    if role == "successor":
        act_as_successor(socket_path)
    else:
        act_as_predecessor(socket_path, sent_packets)
    print("closed", flush=True)
    time.sleep(MAX_LIFE_SECONDS)
