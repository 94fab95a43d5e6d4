"""Faults that the soak draws from; each hits one thing and heals it."""

import asyncio
import resource
import signal
from collections.abc import Awaitable, Callable

from tests.processes.harness import edit_settings, read_settings
from tests.soak.promises import Edit, Outage, Read
from tests.soak.proxy import TO_CLIENT, TO_SERVER
from tests.soak.scene import Scene

FROZEN_MAX_S = 4.0
DOWN_MAX_S = 2.0
LINK_MAX_S = 3.0
DELAY_MAX_S = 0.3
SLOW_FACTORS = (5.0, 30.0)
OUT_MIN_S, OUT_MAX_S = 6.0, 9.0
UNLIMITED = (resource.RLIM_INFINITY, resource.RLIM_INFINITY)

Fault = Callable[[Scene], Awaitable[None]]


async def kill(scene: Scene) -> None:
    """Kill a process and start it again."""
    async with scene.harm("kill", scene.pick_process()) as name:
        scene.kill(name)
        await scene.wait(0.0, DOWN_MAX_S)
        scene.revive(name)


async def kill_all_control(scene: Scene) -> None:
    """Kill every control host at once."""
    names = scene.pick_all_control()
    async with scene.harm("kill", *names):
        for name in names:
            scene.kill(name)
        await scene.wait(0.0, DOWN_MAX_S)
        for name in names:
            scene.revive(name)


async def freeze(scene: Scene) -> None:
    """Let a process stand still for a while."""
    async with scene.harm("freeze", scene.pick_process()) as name:
        scene.fleet.signal(name, signal.SIGSTOP)
        await scene.wait(0.0, FROZEN_MAX_S)
        scene.fleet.signal(name, signal.SIGCONT)


async def stop(scene: Scene) -> None:
    """Stop a process as planned and start it again."""
    async with scene.harm("stop", scene.pick_process()) as name:
        scene.fleet.signal(name, signal.SIGTERM)
        await scene.site.wait_for_exit(name)
        scene.revive(name)


async def reload(scene: Scene) -> None:
    """Tell a process a few times to read its settings again."""
    async with scene.harm("reload", scene.pick_node()) as name:
        for _ in range(scene.rng.randint(1, 4)):
            scene.fleet.signal(name, signal.SIGHUP)
            await scene.wait(0.0, 0.5)


async def refuse_writes(scene: Scene) -> None:
    """Let a control host write to no file, its log included."""
    async with scene.harm("refuse writes", scene.pick_control()) as name:
        pid = scene.fleet.get_pid(name)
        resource.prlimit(pid, resource.RLIMIT_FSIZE, (1, resource.RLIM_INFINITY))
        await scene.wait(0.5, LINK_MAX_S)
        resource.prlimit(pid, resource.RLIMIT_FSIZE, UNLIMITED)


async def reset_links(scene: Scene) -> None:
    """Reset the connections to an entry or a server."""
    async with scene.harm("reset", scene.pick_proxy()) as name:
        for _ in range(scene.rng.randint(1, 3)):
            scene.proxies[name].reset()
            await scene.wait(0.0, 0.5)


async def silence_links(scene: Scene) -> None:
    """Let the open connections to an entry or a server go silent for good."""
    async with scene.harm("silence", scene.pick_proxy()) as name:
        scene.proxies[name].silence()
        await scene.wait(0.5, LINK_MAX_S)
        scene.proxies[name].reset()


async def cut_links(scene: Scene) -> None:
    """Let nothing pass to or from an entry or a server, or one way only."""
    async with scene.harm("cut", scene.pick_proxy()) as name:
        proxy = scene.proxies[name]
        proxy.cut |= set(
            scene.rng.choice(([TO_SERVER], [TO_CLIENT], [TO_SERVER, TO_CLIENT]))
        )
        await scene.wait(0.2, LINK_MAX_S)
        proxy.heal()


async def delay_links(scene: Scene) -> None:
    """Hold up what passes to an entry or a server."""
    async with scene.harm("delay", scene.pick_proxy()) as name:
        scene.proxies[name].delay_s = scene.rng.uniform(0.01, DELAY_MAX_S)
        await scene.wait(0.2, LINK_MAX_S)
        scene.proxies[name].heal()


async def slow_server(scene: Scene) -> None:
    """Let a server be slow or refuse for a while.

    A server that fails leaves no record that its answers could be held against.
    """
    async with scene.harm("slow", scene.pick_server()) as name:
        factor = scene.rng.choice(SLOW_FACTORS)
        switch = scene.rng.choice(({"slow_factor": factor}, {"shed": True}))
        await scene.switch_server(name, **switch)
        await scene.wait(0.5, LINK_MAX_S)
        await scene.switch_server(name, slow_factor=1.0, shed=False)


async def edit(scene: Scene) -> None:
    """Change the settings, as one operator or as two at once."""
    value = scene.draw_value()
    rivals = [value, value + 1][: scene.rng.randint(1, 2)]
    versions = await asyncio.gather(*(edit_settings(scene.site, v) for v in rivals))
    now_s = scene.read_clock()
    scene.edits += [
        Edit(version, rival, now_s)
        for version, rival in zip(versions, rivals, strict=True)
        if version is not None
    ]


async def read(scene: Scene) -> None:
    """Read the settings at one control host."""
    asked_s = scene.read_clock()
    host = scene.rng.choice(scene.fleet.control_hosts)
    shown = await read_settings(scene.site, [host])
    if shown is not None:
        scene.reads.append(Read(shown[0], asked_s))


async def evacuate(scene: Scene) -> None:
    """Take a failure domain out, and in again."""
    async with scene.harm("out", scene.pick_domain()) as domain:
        status, _ = await scene.site.operate("domain", "out", domain, "--force")
        accepted_s = scene.read_clock()
        await scene.wait(OUT_MIN_S, OUT_MAX_S)
        back_s = scene.read_clock()
        if status == 0:
            scene.outages.append(Outage(domain, accepted_s, back_s))
        await scene.repeat_order("domain", "in", domain)


FAULTS: tuple[Fault, ...] = (
    kill,
    kill,
    kill_all_control,
    freeze,
    freeze,
    stop,
    stop,
    reload,
    refuse_writes,
    reset_links,
    reset_links,
    silence_links,
    cut_links,
    cut_links,
    delay_links,
    slow_server,
    slow_server,
    edit,
    edit,
    read,
    read,
    evacuate,
)
"""What is drawn from; what stands twice comes twice as often."""
