"""The core is killed right after it has acknowledged the first tenants."""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from small_system import Server, SmallSystem, make_route, run_case  # noqa: E402

KEY, UNKNOWN_KEY = "key-north-1", "key-of-nobody"
TENANTS = [{"name": "north", "api_keys": [KEY]}]
FIRST_REQUEST_S = 0.7  # after the acknowledgement; nodes ask for news each 0.4 s
RESTART_S = 0.6  # processes that are killed are back within a second
REQUESTS = 10  # at each machine, half of them with a key that nobody holds
INTERVAL_S = 0.1
BOUNDS = {"revocation": "5000ms", "revocation_strict": True}


async def run(trouble):
    """Return 1 if a key reached a server or a request ran with an unknown one."""
    system = SmallSystem(FOLDER, ["matching"] * 3, bounds=BOUNDS)
    system.restart_s = RESTART_S
    received = []

    class KeyServer(Server):
        """Notes the key and the tenant of each request that it runs."""

        async def _answer(self, request, reader, writer):
            await super()._answer(request, reader, writer)
            if request.target != "/health":
                fields = (
                    request.headers.get("api-key"),
                    request.headers.get("tenant-name"),
                )
                received.append((request.target, *fields))
                system.record.write(
                    f"{self.name} has run {request.target}: Api-Key {fields[0]}, "
                    f"Tenant-Name {fields[1]}"
                )

    try:
        await system.start(make_server=KeyServer)
        routes = [make_route("get", "idempotent", "matching", 2000)]
        if await system.publish(routes, ["matching"]) != 200:
            return 2
        if not await system.wait_until_ready():
            return 2
        await asyncio.sleep(4.0)
        status = await system.publish(routes, ["matching"], tenants=TENANTS)
        if status != 200:
            return 2
        if trouble:
            for core in system.cores:
                core.kill()
        await asyncio.sleep(FIRST_REQUEST_S)
        sends = []
        for i in range(REQUESTS):
            key = (KEY, UNKNOWN_KEY)[i % 2]
            for side in system.sides:
                path = f"/get/{key}/{side.name}/{i}"
                headers = (("Api-Key", key),)
                send = system.send(side, "GET", path, b"", 2000, headers=headers)
                sends.append(asyncio.create_task(send))
            await asyncio.sleep(INTERVAL_S)
        await asyncio.gather(*sends)
        leaked = [each for each in received if each[1] is not None]
        nameless = [each for each in received if KEY in each[0] and each[2] != "north"]
        unknown = [each for each in received if UNKNOWN_KEY in each[0]]
        served = len(received)
        line = (
            f"{served} requests ran; the key reached the server in {len(leaked)}, "
            f"{len(nameless)} had a tenant's key and not its name, "
            f"{len(unknown)} had a key that no configuration ever held"
        )
        system.record.write(line)
        print(line)
        return 1 if leaked or nameless or unknown else 0
    finally:
        await system.close()


run_case(run)
