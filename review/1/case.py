"""A control host that was away for some seconds never votes again."""

import asyncio
import json
import os
import shutil
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from stand_ins import CONTROL_PORT, CaseNotRunError, deploy, exchange, run_case

AWAY_S = 3.0  # of a machine that loses its disk
FROZEN_S = 5.0
CATCH_UP_S = 4.0
RECOVERY_S = 15.0
READ_S = 6.0  # the operator reads for at least contact_window, 3 s
DOUBLE_LOSS_ONLY = os.environ.get("DOUBLE_LOSS_ONLY") == "1"


async def lose_disks(fleet, hosts):
    """Let machines lose power and their disks at once, and start again."""
    for host in hosts:
        fleet.kill_process(host)
        shutil.rmtree(fleet.folder / f"data-{host}")
        fleet.record.write("disk_lost", host=host)
    await asyncio.sleep(AWAY_S)
    for host in hosts:
        fleet.start_process(host)


async def freeze(fleet, host, after_s):
    """Freeze a machine for some seconds."""
    await asyncio.sleep(after_s)
    fleet.signal_process(host, signal.SIGSTOP)
    await asyncio.sleep(FROZEN_S)
    fleet.signal_process(host, signal.SIGCONT)


async def publish(fleet, seconds):
    """Publish a configuration, at one host after the other; return whether it was."""
    end_s = time.monotonic() + seconds
    number = 0
    while time.monotonic() < end_s:
        if await fleet.publish(number % len(fleet.controls)):
            return True
        number += 1
        await asyncio.sleep(0.2)
    return False


async def read(fleet):
    """Read the configuration at any host; return its version, or None."""
    end_s = time.monotonic() + READ_S
    while time.monotonic() < end_s:
        for host in fleet.controls:
            answer = await exchange(
                (host, CONTROL_PORT), "GET", "/Configuration.Read", timeout_s=1.0
            )
            fleet.record.write("read", host=host, status=answer.status)
            if answer.status == 200:
                return json.loads(answer.body)["version"]
        await asyncio.sleep(0.2)
    return None


async def play(record, trouble):
    """Return what became of an acknowledged configuration."""
    async with deploy(record, ["a", "b"], controls=5) as fleet:
        _, second, third, fourth, fifth = fleet.controls
        await asyncio.sleep(2.0)
        if trouble and not DOUBLE_LOSS_ONLY:
            await asyncio.gather(
                lose_disks(fleet, [fourth]), freeze(fleet, fifth, after_s=1.4)
            )
        await asyncio.sleep(2 * CATCH_UP_S)
        if not await publish(fleet, 10.0):
            raise CaseNotRunError("a configuration was not acknowledged")
        acknowledged = fleet.version
        if trouble:
            await lose_disks(fleet, [second, third])
            await asyncio.sleep(CATCH_UP_S + RECOVERY_S)
        version = await read(fleet)
        accepted = await publish(fleet, 8.0)
        print(f"acknowledged {acknowledged}, read {version}, next accepted: {accepted}")
    if version is not None and version >= acknowledged:
        return []
    return [
        f"CONFIG: version {acknowledged} was acknowledged; read back: {version};"
        f" a further change was accepted: {accepted}"
    ]


if __name__ == "__main__":
    run_case(play)
