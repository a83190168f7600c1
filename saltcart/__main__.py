"""Start the service: ``python -m saltcart``."""

from __future__ import annotations

import asyncio
import gc
import signal
import sys
import time
from typing import Any

from saltcart import config
from saltcart.core.service import Service
from saltcart.front.http import HttpConnection
from saltcart.log import JsonLog
from saltcart.net.announcer import Announcer
from saltcart.net.clock import Ticker
from saltcart.net.index import IndexClient
from saltcart.net.listener import Listener
from saltcart.net.pool import PoolLink

LINGER = 1.0  # the process ends by itself this long after it should have been stopped


async def serve(conf: config.Config, log: JsonLog) -> None:
    loop = asyncio.get_running_loop()
    loop.set_exception_handler(lambda _, context: log(
        "error", text=context.get("message"), error=repr(context.get("exception"))))
    service = Service(conf.settings, conf.gauges, conf.seed, time.time, log)
    listener = Listener(conf.listen, lambda owner: HttpConnection(owner, service),
                        lambda: service.idle_after, conf.sockets - 64)
    tasks = set[asyncio.Task[Any]]()
    if conf.pool:
        pool = PoolLink(conf.pool, service, log)
        service.runs = pool
        tasks.add(loop.create_task(pool.run()))
    if conf.index:
        service.calls = IndexClient(conf.index, service, log)
    if conf.announce:
        announcer = Announcer(conf.announce, conf.name, log)
        service.announce = announcer
        tasks.add(loop.create_task(announcer.run()))
    ended = asyncio.Event()

    def leave() -> None:
        service.leave(conf.stop_after)
        loop.call_later(conf.stop_after + LINGER, ended.set)

    loop.add_signal_handler(signal.SIGTERM, leave)
    loop.add_signal_handler(signal.SIGINT, leave)
    Ticker(service, loop)
    log("listening", name=conf.name, address=await listener.open())
    gc.collect()
    gc.freeze()  # what lives as long as the process need not be looked at again
    await ended.wait()
    for task in tasks:
        task.cancel()
    log("stopped", counts={" ".join(k): n for k, n in service.counts.items()})


def main() -> int:
    try:
        conf = config.load()
    except config.ConfigError as error:
        print(f"saltcart: {error}", file=sys.stderr)
        return 2
    log = JsonLog()
    asyncio.run(serve(conf, log))
    log.close()
    return 0


if __name__ == "__main__":
    sys.exit(main())
