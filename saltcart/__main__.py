"""Starts the service: ``python -m saltcart``.

With arguments it runs the command line of ``saltcart.cli`` instead.
"""

from __future__ import annotations

import signal

# A SIGHUP that arrives during start-up must not end the process: it is recorded, and the configuration is
# reloaded as soon as the service runs.
PENDING_HANGUPS: list[int] = []
signal.signal(signal.SIGHUP, lambda number, _: PENDING_HANGUPS.append(number))

import asyncio  # noqa: E402
import gc  # noqa: E402
import sys  # noqa: E402

from saltcart import config, deployment  # noqa: E402
from saltcart.app import App  # noqa: E402
from saltcart.log import JsonLog  # noqa: E402
from saltcart.net.signals import handle_signals  # noqa: E402

EXIT_DELAY_SECONDS = 1.0  # after the stop timeout: the process exits then if nothing has killed it


async def serve(conf: config.Config, deployment_conf: deployment.Deployment, log: JsonLog) -> None:
    """Run the service, with the platform's and the deployment file's settings, until it is stopped.

    Raises:
        ConfigError: If settings conflict, or the file of saved tenants can't be read.
        OSError: If an address can't be listened on.
    """
    loop = asyncio.get_running_loop()
    loop.set_exception_handler(
        lambda _, context: log("error", text=context.get("message"), error=repr(context.get("exception")))
    )
    app, stopped = App(conf, deployment_conf, log), asyncio.Event()

    def begin_drain(notice_age: float) -> None:
        """Drain; the process exits when it is done, or soon after the stop timeout."""
        app.begin_drain(stopped.set, notice_age)
        loop.call_later(conf.stop_timeout + EXIT_DELAY_SECONDS - notice_age, stopped.set)

    def reload() -> None:
        """Reload the configuration; an error is logged, and the running one stays."""
        try:
            app.reload(config.load())
        except Exception as error:  # a running service survives any content of the file
            log("reload-failed", error=str(error))

    handle_signals((signal.SIGTERM, signal.SIGINT), app.service.clock.read_seconds, begin_drain)
    await app.start()
    gc.collect()
    gc.freeze()  # later collections skip the objects that live as long as the process
    loop.add_signal_handler(signal.SIGHUP, reload)
    if PENDING_HANGUPS:
        reload()
    stop_task = loop.create_task(stopped.wait())
    if app.takeover_task is not None:  # it opens the fronts later; if that fails, the program ends
        await asyncio.wait((app.takeover_task, stop_task), return_when=asyncio.FIRST_COMPLETED)
        if app.takeover_task.done():
            app.takeover_task.result()
    await stop_task
    log("stopped", counts={" ".join(key): count for key, count in app.service.counts.items()})
    await app.close()


def main() -> int:
    """Run the service, or the command line if there are arguments.

    Returns:
        The exit status.
    """
    if len(sys.argv) < 2:
        return run_service()
    from saltcart.cli import cli  # never loaded by the service

    cli(prog_name="saltcart")
    return 0


def run_service() -> int:
    """Read the configuration and run the service.

    Returns:
        The exit status: 0 after a graceful shutdown, 2 if the service can't start.
    """
    try:
        conf, deployment_conf = config.load(), deployment.load()
    except config.ConfigError as error:
        print(f"saltcart: {error}", file=sys.stderr)
        return 2
    log = JsonLog()
    try:
        asyncio.run(serve(conf, deployment_conf, log))
    except (config.ConfigError, OSError) as error:  # such as an unreadable state file or an address in use
        print(f"saltcart: {error}", file=sys.stderr)
        return 2
    finally:
        log.close()
    return 0


if __name__ == "__main__":
    sys.exit(main())
