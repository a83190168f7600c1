"""A declaration ran and its answer was lost.  What do its further tries get while a retry storm lasts?"""

from __future__ import annotations

import socket
import struct
import sys
import threading
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common-2"))

from harness import (  # noqa: E402
    TROUBLE,
    AjpServer,
    CannotRunError,
    Record,
    Service,
    base_config,
    call,
    new_id,
    play,
    request_headers,
)

DEPLOYMENT = """
[storm]

[[upstream]]
name = "declarations"
members = [{{ host = "{host}" }}]

[[tenant]]
name = "jadran-spedicija"
share = 1.0
quota = 1000.0
"""
ACCOUNT = "jadran-spedicija"
BALANCERS = ["127.0.0.11", "127.0.0.12", "127.0.0.13", "127.0.0.14"]
CONNECTIONS_PER_BALANCER = 10
RUN_SECONDS = 0.15
WINDOW_SECONDS = 11.724
DECLARATIONS = 4


def lose_answer(front: str, server: AjpServer, source: str, headers: dict[str, str], body: bytes) -> None:
    """Send a declaration, and reset the connection just as its answer comes."""
    host, _, port = front.rpartition(":")
    lines = ["POST /call/oddaja HTTP/1.1", "Host: backend.local"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines += [f"Content-Length: {len(body)}", "", ""]
    with socket.create_connection((host, int(port)), 5, (source, 0)) as connection:
        connection.settimeout(5)
        connection.sendall("\r\n".join(lines).encode() + body)
        connection.recv(1)
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    if not any(ran_body == body for _, _, _, ran_body in server.ran):
        raise CannotRunError("the declaration did not run")


def case(record: Record, folder: Path, started: list[Service]) -> list[str]:
    """Lose the answers of some declarations, let the balancers storm, and send further tries."""

    def work(path: str, body: bytes) -> bytes:
        time.sleep(RUN_SECONDS)
        return b"done " + body

    server = AjpServer(record, "server", work)
    config = base_config()
    config["settings"]["extra"]["cores"] = 2
    service = Service(record, folder, config, DEPLOYMENT.format(host=server.address))
    started.append(service)
    front = service.address("http")
    broken, stop = list[str](), threading.Event()
    stormed: dict[int, int] = {}

    def storm(source: str) -> None:
        """Send reads, each again as soon as it is turned away."""
        while not stop.is_set():
            body, status = new_id().encode(), 503
            while status == 503 and not stop.is_set():
                headers = request_headers(new_id(), ACCOUNT, budget_ms=1500)
                status, _, _ = call(front, "POST", "/call/pregled-statusa", headers, body, source=source)
                stormed[status] = stormed.get(status, 0) + 1

    for _ in range(10):
        call(front, "POST", "/call/pregled-statusa", request_headers(new_id(), ACCOUNT), b"calm")
    declarations = []
    for number in range(DECLARATIONS):
        key, body, source = new_id() + new_id(), new_id().encode(), BALANCERS[number]
        headers = request_headers(new_id(), ACCOUNT, key)
        record(f"balancer {source} sends the first try of key={key}: {headers}")
        lose_answer(front, server, source, headers, body)
        record(f"balancer {source}: the connection of key={key} is reset as its answer comes")
        declarations.append((key, body, source, int(headers["Received-At"]) / 1000))
    if TROUBLE:
        record(f"{len(BALANCERS)} balancers with {CONNECTIONS_PER_BALANCER} connections each begin to storm")
        for source in BALANCERS * CONNECTIONS_PER_BALANCER:
            threading.Thread(target=storm, args=(source,), daemon=True).start()
    time.sleep(1.5)
    for _ in range(5):
        for key, body, source, ran_at in declarations:
            headers = request_headers(new_id(), ACCOUNT, key)
            age = int(headers["Received-At"]) / 1000 - ran_at
            if age > WINDOW_SECONDS - 1:
                continue
            status, fields, answer = call(front, "POST", "/call/oddaja", headers, body, source=source)
            record(
                f"balancer {source} sends a further try of key={key}, {age:.2f} s after the first;"
                f" it gets {status} {fields} {answer!r}"
            )
            if status in (429, 503):
                broken.append(f"key={key} ran, and was refused {age:.2f} s later: {status} {fields}")
            time.sleep(0.1)
    stop.set()
    record(f"the storm got {stormed} (answers by status)")
    return broken


play(FOLDER, case)
