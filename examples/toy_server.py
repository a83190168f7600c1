"""A toy AJP server: replies to each request with its body in capitals, after a simulated run time.

    python examples/toy_server.py [HOST:PORT]

It listens on 127.0.0.1:8010 by default.
"""

from __future__ import annotations

import asyncio
import contextlib
import sys

from saltcart.wire import ajp
from saltcart.wire.buffer import Buffer
from saltcart.wire.errors import MalformedMessageError

RUN_SECONDS = 0.1


async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Serve one AJP connection."""
    buffer, parser = Buffer(), ajp.AjpRequestParser(max_body_bytes=65536)
    try:
        while data := await reader.read(4096):
            buffer.write(data)
            while (message := parser.next(buffer)) is not None:
                if isinstance(message, ajp.CPing):
                    writer.write(ajp.CPONG_PACKET)
                elif isinstance(message, ajp.GetBodyChunkPacket):
                    writer.write(message.data)
                else:
                    await asyncio.sleep(RUN_SECONDS)
                    print(message.uri.decode(), message.headers.get(b"account", b"-").decode(), flush=True)
                    writer.write(ajp.encode_response(200, b"OK", [], message.body.upper(), True))
    except (ConnectionError, MalformedMessageError):
        pass
    finally:
        writer.close()


async def main(address: str) -> None:
    """Listen on ``address`` until the process is interrupted."""
    host, _, port = address.rpartition(":")
    server = await asyncio.start_server(serve, host, int(port))
    print("listening", "{}:{}".format(*server.sockets[0].getsockname()[:2]), flush=True)
    await server.serve_forever()


if __name__ == "__main__":
    with contextlib.suppress(KeyboardInterrupt):
        asyncio.run(main(sys.argv[1] if len(sys.argv) > 1 else "127.0.0.1:8010"))
