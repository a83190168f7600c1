"""Start the service: ``python -m saltcart``."""

from __future__ import annotations

import signal

# A SIGHUP that comes while the program still starts must not end it: it is kept, and followed once it runs.
HANGUPS: list[int] = []
signal.signal(signal.SIGHUP, lambda number, _: HANGUPS.append(number))

import asyncio  # noqa: E402
import gc  # noqa: E402
import sys  # noqa: E402

from saltcart import config, deployment  # noqa: E402
from saltcart.app import App  # noqa: E402
from saltcart.log import JsonLog  # noqa: E402
from saltcart.net.signals import on_notice  # noqa: E402

LINGER = 1.0  # the process ends by itself this long after it should have been stopped


async def serve(conf: config.Config, extra: deployment.Deployment, log: JsonLog) -> None:
    loop = asyncio.get_running_loop()
    loop.set_exception_handler(
        lambda _, context: log("error", text=context.get("message"), error=repr(context.get("exception")))
    )
    app, ended = App(conf, extra, log), asyncio.Event()

    def leave(ago: float) -> None:
        app.begin_drain(ended.set, ago)
        loop.call_later(conf.stop_timeout + LINGER - ago, ended.set)

    def reload() -> None:
        try:
            app.reload(config.load())
        except Exception as error:  # whatever a file may hold, a running service outlives it
            log("reload-failed", error=str(error))

    on_notice((signal.SIGTERM, signal.SIGINT), app.service.clock.read_seconds, leave)
    await app.start()
    gc.collect()
    gc.freeze()  # what lives as long as the process need not be looked at again
    loop.add_signal_handler(signal.SIGHUP, reload)
    if HANGUPS:
        reload()
    end = loop.create_task(ended.wait())
    if app.takeover_task is not None:  # the fronts open later: what keeps them from that ends the program
        await asyncio.wait((app.takeover_task, end), return_when=asyncio.FIRST_COMPLETED)
        if app.takeover_task.done():
            app.takeover_task.result()
    await end
    log("stopped", counts={" ".join(key): count for key, count in app.service.counts.items()})
    await app.close()


def main() -> int:
    """The service; with words after it, the command line beside it."""
    if len(sys.argv) < 2:
        return run_service()
    from saltcart.cli import cli  # never loaded by the service

    cli(prog_name="saltcart")
    return 0


def run_service() -> int:
    try:
        conf, extra = config.load(), deployment.load()
    except config.ConfigError as error:
        print(f"saltcart: {error}", file=sys.stderr)
        return 2
    log = JsonLog()
    try:
        asyncio.run(serve(conf, extra, log))
    except (config.ConfigError, OSError) as error:  # a state file that can't be read, an address in use
        print(f"saltcart: {error}", file=sys.stderr)
        return 2
    finally:
        log.close()
    return 0


if __name__ == "__main__":
    sys.exit(main())
