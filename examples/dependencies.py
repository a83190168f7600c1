"""Three toy dependencies for examples/budgets.toml.

``tarifa`` replies quickly, ``arhiv`` is slow on every third call, and ``knjiga`` prints each call's body.

    python -m examples.dependencies [PORT]

They listen on PORT and the two ports after it, in this order.  The default is 8011; 0 selects free ports.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import sys

from saltcart.lab.standins import AjpStandIn, IndexStandIn, ReceivedCall, ScriptedReply, StandIn

ARCHIVE_CALL_NUMBERS = itertools.count(1)


def tariff(call: ReceivedCall) -> ScriptedReply:
    """Reply with a tariff rate."""
    return ScriptedReply(delay=0.03, body=b'{"rate":0.045}')


def archive(call: ReceivedCall) -> ScriptedReply:
    """Reply with the number of entries; every third call outlasts the caller's timeout."""
    return ScriptedReply(delay=30.0 if next(ARCHIVE_CALL_NUMBERS) % 3 == 0 else 0.05, body=b'{"entries":2}')


def ledger(call: ReceivedCall) -> ScriptedReply:
    """Print the body and reply with its number in the ledger."""
    print("entered", call.body.decode(), flush=True)
    return ScriptedReply(delay=0.05, body=b'{"number":"LJ-1"}')


async def main(port: int) -> None:
    """Listen on three ports, starting at ``port``, or on free ports if it is 0."""
    stand_ins: list[StandIn] = [AjpStandIn(tariff), IndexStandIn(archive), AjpStandIn(ledger)]
    async with contextlib.AsyncExitStack() as stack:
        for offset, stand_in in enumerate(stand_ins):
            stand_in.port = port + offset if port else 0
            await stack.enter_async_context(stand_in)
        print("listening", *(stand_in.address for stand_in in stand_ins), flush=True)
        await asyncio.Event().wait()


if __name__ == "__main__":
    with contextlib.suppress(KeyboardInterrupt):
        asyncio.run(main(int(sys.argv[1]) if len(sys.argv) > 1 else 8011))
