"""Composed answers: do the numbers of a declaration and of a reply arrive as they were sent?"""

from __future__ import annotations

import json
import sys
from decimal import Decimal
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
[[upstream]]
name = "tarifa"
members = [{{ host = "{tarifa}" }}]

[[upstream]]
name = "arhiv"
members = [{{ host = "{arhiv}" }}]

[[upstream]]
name = "knjiga"
members = [{{ host = "{knjiga}" }}]

[[tenant]]
name = "jadran-spedicija"
share = 1.0
quota = 100.0

[[dependency]]
name = "tarifa"
upstream = "tarifa"

[[dependency]]
name = "arhiv"
upstream = "arhiv"

[[dependency]]
name = "knjiga"
upstream = "knjiga"

[[plan]]
class = "pregled-statusa"
partial = true

[[plan.stage]]
call = [{{ dependency = "tarifa" }}, {{ dependency = "arhiv", required = false, worth = 0.3 }}]

[[plan]]
class = "oddaja"
answer = "knjiga"

[[plan.stage]]
call = [{{ dependency = "tarifa" }}]

[[plan.stage]]
call = [{{ dependency = "knjiga", write = true, sends = "answers" }}]
"""
# Both are JSON.  The second one has an integer of 20 digits, as serial numbers of shipments have.
PLAIN = b'{"declaration":1234567890,"amount":12.5}'
LONG = b'{"declaration":98765432109876543210,"amount":12.5}'


def read(text: bytes) -> object:
    """Parse JSON with all digits."""
    return json.loads(text, parse_int=Decimal, parse_float=Decimal)


def case(record: Record, folder: Path, started: list[Service]) -> list[str]:
    """Lodge a declaration and ask for its state."""
    document = LONG if TROUBLE else PLAIN
    servers = {
        "tarifa": AjpServer(record, "tarifa", lambda path, body: b'{"rate":3}'),
        "arhiv": AjpServer(record, "arhiv", lambda path, body: document),
        "knjiga": AjpServer(record, "knjiga", lambda path, body: b'{"entered":true}'),
    }
    deployment = DEPLOYMENT.format(**{name: server.address for name, server in servers.items()})
    service = Service(record, folder, base_config(), deployment)
    started.append(service)
    front = service.address("http")
    broken: list[str] = []

    def send(class_name: str, body: bytes) -> bytes:
        request_id = new_id()
        key = new_id() + new_id() if class_name == "oddaja" else None
        record(f"client sends id={request_id} class={class_name} key={key} body={body!r}")
        fields = request_headers(request_id, "jadran-spedicija", key)
        status, found, answer = call(front, "POST", f"/call/{class_name}", fields, body)
        record(f"client gets id={request_id} status={status} fields={found} answer={answer!r}")
        if status != 200:
            raise CannotRunError(f"{class_name} was not served")
        return answer

    for _ in range(3):
        send("oddaja", document)
        lodged = read(servers["knjiga"].ran[-1][3])["request"]
        if lodged != read(document):
            broken.append(f"the client lodged {document!r}, and the book was sent {lodged}")
        answer = read(send("pregled-statusa", b"{}"))
        if answer["arhiv"] is not None and answer["arhiv"] != read(document):
            broken.append(f"the archive answered {document!r}, and the client was served {answer['arhiv']}")
    return broken


play(FOLDER, case)
