"""Changes over the administration API while a second program takes over from the first."""

from __future__ import annotations

import asyncio
from pathlib import Path

from tests.standins import HttpClient, Platform, Pool, raw_config
from tests.test_admin import TOKEN, send
from tests.test_sockets import start_program
from tests.test_takeover import reserve_address, until_ready

TENANTS = 20


async def create_tenant(address: str, name: str) -> int:
    """Create a tenant on a connection of its own, and return the status."""
    client = await HttpClient(address).open()
    status, _ = await send(client, "POST", "/v1/tenants", {"name": name, "share": 0.0, "quota": 5})
    client.drop()
    return status


def test_confirmed_changes_of_tenants_are_there_after_an_upgrade(
    shared_platform: Platform, tmp_path: Path
) -> None:
    # Guards against changes that the old process takes and confirms while the new one serves already.
    admin_address = reserve_address()
    deployment = tmp_path / "saltcart.toml"
    state_file = tmp_path / "tenants.json"
    deployment.write_text(
        f'[admin]\nlisten = "{admin_address}"\ntoken = "{TOKEN}"\nstate = "{state_file}"\n'
        '[[tenant]]\nname = "acme"\nshare = 1.0\nquota = 50\n'
    )
    environment = {**shared_platform.environment, "SALTCART_DEPLOYMENT": str(deployment)}
    listen_fd = int(environment["BALANCER_LISTEN_FD"])

    async def scenario() -> None:
        async with Pool() as predecessor_pool, Pool() as successor_pool:
            programs = []
            for number, pool in enumerate((predecessor_pool, successor_pool)):
                control_address = reserve_address()
                config = raw_config(pool=pool.address, control=control_address)
                program = await start_program(
                    tmp_path / f"{number}.json", config, (listen_fd,), **environment
                )
                programs.append(program)
                if number:  # the new process starts, and the old one still serves
                    assert await create_tenant(admin_address, "during") == 201
                await until_ready(control_address)
                if not number:
                    assert await create_tenant(admin_address, "before") == 201
            predecessor, successor = programs
            names = [f"after-{number}" for number in range(TENANTS)]
            assert [await create_tenant(admin_address, name) for name in names] == [201] * TENANTS
            predecessor.terminate()
            await predecessor.communicate()
            client = await HttpClient(admin_address).open()
            _, shown = await send(client, "GET", "/v1/shares")
            assert set(shown) == {"acme", "before", "during", *names}
            successor.terminate()
            await successor.communicate()

    asyncio.run(scenario())
