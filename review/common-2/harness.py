"""What the cases 6 to 10 share: processes of the service, an HTTP client, AJP stand-ins and the record.

The service is started with the ``run`` command of deploy/balancer.toml.  All addresses are on loopback.
"""

from __future__ import annotations

import contextlib
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent.parent
sys.path.insert(0, str(ROOT))


from saltcart.wire import ajp  # noqa: E402
from saltcart.wire.buffer import Buffer  # noqa: E402

RUN = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
MAX_SECONDS = 110.0
HELD, BROKEN, NOT_RUN = 0, 1, 2
TOKEN = "a-token-for-the-review"

SERVICES = [
    {"name": "pregled-statusa", "effect": "read_like", "onTime": 2.2, "deadline": 5.4, "worth": 1},
    {
        "name": "oddaja",
        "effect": "idempotency_key",
        "onTime": 1.6,
        "deadline": 3.9,
        "worth": 5,
        "memorySpan": 11.724,
    },
]


class CannotRunError(Exception):
    """The case could not be played."""


class Record:
    """record.txt in the folder of the case: what was sent, answered and run."""

    def __init__(self, folder: Path) -> None:
        self.file = (folder / "record.txt").open("w", encoding="utf-8")
        self.lock = threading.Lock()
        self.started = time.monotonic()
        self(f"trouble: {'on' if TROUBLE else 'off'}")

    def __call__(self, text: str) -> None:
        """Write one line with the seconds since the start."""
        with self.lock:
            self.file.write(f"{time.monotonic() - self.started:8.3f} {text}\n")
            self.file.flush()


class Service:
    """One process of the service, started with the run command of the deploy file."""

    def __init__(
        self,
        record: Record,
        folder: Path,
        config: dict,
        deployment: str,
        name: str = "service",
        environment: dict | None = None,
        descriptors: tuple[int, ...] = (),
    ) -> None:
        self.record, self.name = record, name
        config_file = folder / f"{name}.json"
        config_file.write_text(json.dumps(config))
        deployment_file = folder / f"{name}.toml"
        deployment_file.write_text(deployment)
        shared = folder / "tmp"
        shared.mkdir(exist_ok=True)
        self.events: list[dict] = []
        self.process = subprocess.Popen(
            ["/bin/sh", "-c", RUN],
            cwd=ROOT,
            env={
                "PATH": os.environ.get("PATH", "/usr/bin:/bin"),
                "BALANCER_CONFIG": str(config_file),
                "SALTCART_DEPLOYMENT": str(deployment_file),
                "TMPDIR": str(shared),
                "PYTHONDONTWRITEBYTECODE": "1",
                **(environment or {}),
            },
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            start_new_session=True,
            pass_fds=descriptors,
        )
        record(f"{name}: started")
        threading.Thread(target=self._read, daemon=True).start()

    def _read(self) -> None:
        assert self.process.stdout is not None
        for line in self.process.stdout:
            text = line.decode("utf-8", "replace").rstrip()
            self.record(f"{self.name} log: {text}")
            try:
                self.events.append(json.loads(text))
            except ValueError:
                self.events.append({"event": "text", "text": text})

    def address(self, front: str, timeout: float = 20.0) -> str:
        """Return the address of a front once it listens."""
        end = time.monotonic() + timeout
        while time.monotonic() < end:
            for event in list(self.events):
                if event.get("event") == "listening" and event.get("front") == front:
                    return event["address"]
            if self.process.poll() is not None:
                break
            time.sleep(0.02)
        raise CannotRunError(f"{self.name} does not listen for {front}")

    def wait_end(self, timeout: float) -> int | None:
        """Return the exit status, or None if the process runs on."""
        try:
            return self.process.wait(timeout)
        except subprocess.TimeoutExpired:
            return None

    def signal(self, number: int) -> None:
        """Send a signal to the process."""
        self.record(f"{self.name}: {signal.Signals(number).name}")
        self.process.send_signal(number)

    def stop(self) -> None:
        """Kill the process, unless it has ended; its group has no other, as the command ends in an exec."""
        if self.process.poll() is None:
            with contextlib.suppress(ProcessLookupError):
                os.killpg(self.process.pid, signal.SIGKILL)
        self.process.wait()


def call(
    address: str,
    method: str,
    path: str,
    headers: dict[str, str],
    body: bytes,
    timeout: float = 10.0,
    source: str = "127.0.0.1",
) -> tuple[int, dict[str, str], bytes]:
    """Send one HTTP request on a connection of its own and return status, headers and body.

    A status of 0 means that the connection ended without a whole answer.  The source is the loopback address
    from which the connection comes.
    """
    host, _, port = address.rpartition(":")
    lines = [f"{method} {path} HTTP/1.1", "Host: backend.local"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines += [f"Content-Length: {len(body)}", "", ""]
    data = b""
    try:
        with socket.create_connection((host, int(port)), timeout, (source, 0)) as connection:
            connection.settimeout(timeout)
            connection.sendall("\r\n".join(lines).encode() + body)
            while True:
                head, end, rest = data.partition(b"\r\n\r\n")
                if end:
                    first, *fields = head.decode("latin-1").split("\r\n")
                    found = {n.strip().lower(): v.strip() for n, _, v in (f.partition(":") for f in fields)}
                    if len(rest) >= int(found.get("content-length", "0")):
                        return int(first.split()[1]), found, rest
                part = connection.recv(65536)
                if not part:
                    return 0, {}, data
                data += part
    except OSError as error:
        return 0, {}, repr(error).encode()


def request_headers(
    request_id: str, account: str, key: str | None = None, budget_ms: int = 3500
) -> dict[str, str]:
    """Return the header fields of one request."""
    fields = {
        "Request-Id": request_id,
        "Received-At": str(int(time.time() * 1000)),
        "Sent-By": "1",
        "Account": account,
        "Budget-Ms": str(budget_ms),
        "Work-Estimate": "12.50",
        "Footprint-Kb": "24.5",
        "Priority-Rank": "0.6250",
    }
    return fields | ({"Once-Key": key} if key else {})


def new_id() -> str:
    """Return a request id that was not used before."""
    return os.urandom(8).hex()


def admin(address: str, method: str, path: str, value: object = None) -> tuple[int, bytes]:
    """Call the administration API."""
    body = b"" if value is None else json.dumps(value).encode()
    headers = {"Authorization": f"Bearer {TOKEN}", "Content-Type": "application/json"}
    status, _, answer = call(address, method, path, headers, body)
    return status, answer


class AjpServer:
    """A stand-in AJP server: it records what it runs, and ``reply`` makes the result from path and body."""

    def __init__(self, record: Record, name: str, reply=None) -> None:
        self.record, self.name = record, name
        self.reply = reply or (lambda path, body: name.encode() + b":" + body)
        self.ran: list[tuple[str, str, str, bytes]] = []  # request id, account, path, body
        self.socket = socket.create_server(("127.0.0.1", 0))
        self.address = "{}:{}".format(*self.socket.getsockname())
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        while True:
            try:
                connection, _ = self.socket.accept()
            except OSError:
                return
            threading.Thread(target=self._serve, args=(connection,), daemon=True).start()

    def _serve(self, connection: socket.socket) -> None:
        buffer, parser = Buffer(), ajp.AjpRequestParser(65536)
        with connection:
            try:
                while data := connection.recv(65536):
                    buffer.write(data)
                    while (message := parser.next(buffer)) is not None:
                        if isinstance(message, ajp.CPing):
                            connection.sendall(ajp.CPONG_PACKET)
                        elif isinstance(message, ajp.GetBodyChunkPacket):
                            connection.sendall(message.data)
                        else:
                            connection.sendall(self._run(message))
            except OSError:
                return

    def _run(self, message: ajp.ForwardRequest) -> bytes:
        request_id = message.headers.get(b"request-id", b"").decode()
        account = message.headers.get(b"account", b"").decode()
        path = message.uri.decode()
        self.ran.append((request_id, account, path, message.body))
        self.record(f"{self.name} runs id={request_id} account={account} path={path} body={message.body!r}")
        return ajp.encode_response(200, b"OK", [], self.reply(path, message.body), True)


def base_config(**fields: object) -> dict:
    """Return the configuration of a small deployment, without a worker pool unless one is given."""
    return {
        "name": "n1",
        "listen": "127.0.0.1:0",
        "seed": "8c1f30d27a5be964",
        "stop_ms": 3200,
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "settings": {
            "services": SERVICES,
            "extra": {
                "cores": 6,
                "memLimitKb": 67602.0,
                "runFactor": 16.0,
                "keyKb": 187.82,
                "idle": 30.0,
                "gauges": ["cpu_busy", "runnable", "mem_used", "sockets"],
                "signal": "level",
                "preemption": "pause",
                "heardFor": 1.0,
                "passesDeadline": True,
                "tellsGone": True,
            },
            "contract": {
                "answerSlack": 0.08,
                "cold": 17.0,
                "coldFrom": 0.24,
                "drainGrace": 2.5,
                "fall": 2.0,
                "fallMultiple": 8.0,
            },
            "limits": {"retryAfter": True, "maxRetryAfter": 1.0},
            "quantum": 0.005,
        },
        **fields,
    }


def play(folder: Path, case) -> None:
    """Play a case, end all its processes and exit: 0 the rule held, 1 it was broken, 2 the case can't run.

    Args:
        folder: The folder of the case.
        case: Called with the record, a temporary folder and a list to add the started processes to; returns
            the texts of what broke the rule.
    """
    record = Record(folder)
    temporary = Path(tempfile.mkdtemp(prefix="saltcart-review-"))
    started: list[Service] = []
    status = NOT_RUN
    timer = threading.Timer(MAX_SECONDS, lambda: _give_up(record, started, temporary))
    timer.daemon = True
    timer.start()
    try:
        broken = case(record, temporary, started)
        for text in broken:
            record(f"BROKEN {text}")
        status = BROKEN if broken else HELD
    except CannotRunError as error:
        record(f"the case could not run: {error}")
    except Exception as error:  # a fault of the script proves nothing about the service
        record(f"the case could not run: {error!r}")
    finally:
        for service in started:
            service.stop()
        shutil.rmtree(temporary, ignore_errors=True)
    record(f"exit status {status}")
    print(f"{folder.name}: {['the rule held', 'the rule was broken', 'the case could not run'][status]}")
    sys.stdout.flush()
    os._exit(status)


def _give_up(record: Record, started: list[Service], temporary: Path) -> None:
    record("the case could not run: out of time")
    for service in started:
        service.stop()
    shutil.rmtree(temporary, ignore_errors=True)
    os._exit(NOT_RUN)
