"""Three toy dependencies for examples/budgets.toml.

``tarifa`` answers at once, ``arhiv`` is slow at each third call, and ``knjiga`` enters what it is sent.

    python -m examples.dependencies [PORT]

They listen on PORT and the two after it, in this order; 8011 unless a port is given, free ones with 0.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import sys

from saltcart.lab.standins import AjpStandIn, IndexStandIn, ReceivedCall, ScriptedReply, StandIn

COUNT = itertools.count(1)


def tariff(call: ReceivedCall) -> ScriptedReply:
    return ScriptedReply(delay=0.03, body=b'{"rate":0.045}')


def archive(call: ReceivedCall) -> ScriptedReply:
    return ScriptedReply(delay=30.0 if next(COUNT) % 3 == 0 else 0.05, body=b'{"entries":2}')


def ledger(call: ReceivedCall) -> ScriptedReply:
    print("entered", call.body.decode(), flush=True)
    return ScriptedReply(delay=0.05, body=b'{"number":"LJ-1"}')


async def main(port: int) -> None:
    stand_ins: list[StandIn] = [AjpStandIn(tariff), IndexStandIn(archive), AjpStandIn(ledger)]
    async with contextlib.AsyncExitStack() as stack:
        for n, stand_in in enumerate(stand_ins):
            stand_in.port = port + n if port else 0
            await stack.enter_async_context(stand_in)
        print("listening", *(s.address for s in stand_ins), flush=True)
        await asyncio.Event().wait()


if __name__ == "__main__":
    with contextlib.suppress(KeyboardInterrupt):
        asyncio.run(main(int(sys.argv[1]) if len(sys.argv) > 1 else 8011))
