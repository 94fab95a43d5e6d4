"""Faults that the soak test injects; each one also reverts itself."""

import asyncio
import resource
import signal
from collections.abc import Awaitable, Callable

from tests.processes.harness import edit_settings, read_settings
from tests.soak.guarantees import Departure, Edit, Evacuation, Limit, Read
from tests.soak.injector import FaultInjector
from tests.soak.proxy import TO_CLIENT, TO_SERVER

FROZEN_MAX_S = 4.0
DOWN_MAX_S = 2.0
FAULT_MAX_S = 3.0  # of faults without a limit of their own
DELAY_MAX_S = 0.3
SLOW_FACTORS = (5.0, 30.0)
EVACUATED_MIN_S, EVACUATED_MAX_S = 6.0, 9.0
LIMITS_PER_S = (0.0, 1.0, 3.0)  # below the load of a server
LIMITED_MIN_S, LIMITED_MAX_S = 5.0, 9.0
LEAVING_MIN_S, LEAVING_MAX_S = 3.0, 6.0
UNLIMITED = (resource.RLIM_INFINITY, resource.RLIM_INFINITY)

Fault = Callable[[FaultInjector], Awaitable[None]]


async def kill(injector: FaultInjector) -> None:
    """Kill a process and restart it."""
    async with injector.inject("kill", injector.pick_process()) as name:
        injector.kill(name)
        await injector.sleep_random(0.0, DOWN_MAX_S)
        injector.restart(name)


async def kill_all_control(injector: FaultInjector) -> None:
    """Kill all control hosts at once and restart them."""
    names = injector.list_control_hosts()
    async with injector.inject("kill", *names):
        for name in names:
            injector.kill(name)
        await injector.sleep_random(0.0, DOWN_MAX_S)
        for name in names:
            injector.restart(name)


async def freeze(injector: FaultInjector) -> None:
    """Suspend a process for a while."""
    async with injector.inject("freeze", injector.pick_process()) as name:
        injector.fleet.signal(name, signal.SIGSTOP)
        await injector.sleep_random(0.0, FROZEN_MAX_S)
        injector.fleet.signal(name, signal.SIGCONT)


async def stop(injector: FaultInjector) -> None:
    """Stop a process gracefully and restart it."""
    async with injector.inject("stop", injector.pick_process()) as name:
        injector.fleet.signal(name, signal.SIGTERM)
        await injector.harness.wait_for_exit(name)
        injector.restart(name)


async def reload(injector: FaultInjector) -> None:
    """Send SIGHUP to a node a few times, so that it reloads its settings."""
    async with injector.inject("reload", injector.pick_node()) as name:
        for _ in range(injector.rng.randint(1, 4)):
            injector.fleet.signal(name, signal.SIGHUP)
            await injector.sleep_random(0.0, 0.5)


async def refuse_writes(injector: FaultInjector) -> None:
    """Make all file writes of a control host fail, also to its log."""
    async with injector.inject("refuse writes", injector.pick_control()) as name:
        pid = injector.fleet.get_pid(name)
        resource.prlimit(pid, resource.RLIMIT_FSIZE, (1, resource.RLIM_INFINITY))
        await injector.sleep_random(0.5, FAULT_MAX_S)
        resource.prlimit(pid, resource.RLIMIT_FSIZE, UNLIMITED)


async def reset_links(injector: FaultInjector) -> None:
    """Reset the connections to an entry node or a server."""
    async with injector.inject("reset", injector.pick_proxy()) as name:
        for _ in range(injector.rng.randint(1, 3)):
            injector.proxies[name].reset()
            await injector.sleep_random(0.0, 0.5)


async def silence_links(injector: FaultInjector) -> None:
    """Forward nothing on the open connections to an entry node or a server.

    They stay silent until they are reset.
    """
    async with injector.inject("silence", injector.pick_proxy()) as name:
        injector.proxies[name].silence()
        await injector.sleep_random(0.5, FAULT_MAX_S)
        injector.proxies[name].reset()


async def cut_links(injector: FaultInjector) -> None:
    """Block traffic of an entry node or a server in one direction or both."""
    async with injector.inject("cut", injector.pick_proxy()) as name:
        proxy = injector.proxies[name]
        proxy.blocked |= set(
            injector.rng.choice(([TO_SERVER], [TO_CLIENT], [TO_SERVER, TO_CLIENT]))
        )
        await injector.sleep_random(0.2, FAULT_MAX_S)
        proxy.heal()


async def delay_links(injector: FaultInjector) -> None:
    """Delay traffic of an entry node or a server."""
    async with injector.inject("delay", injector.pick_proxy()) as name:
        injector.proxies[name].delay_s = injector.rng.uniform(0.01, DELAY_MAX_S)
        await injector.sleep_random(0.2, FAULT_MAX_S)
        injector.proxies[name].heal()


async def slow_server(injector: FaultInjector) -> None:
    """Make a server slow, or make it refuse requests.

    Failing responses are not injected: a failing server records no run with which the
    outcomes could be compared.
    """
    async with injector.inject("slow", injector.pick_server()) as name:
        factor = injector.rng.choice(SLOW_FACTORS)
        behaviour = injector.rng.choice(({"slow_factor": factor}, {"shed": True}))
        await injector.configure_server(name, **behaviour)
        await injector.sleep_random(0.5, FAULT_MAX_S)
        await injector.configure_server(name, slow_factor=1.0, shed=False)


async def limit_server(injector: FaultInjector) -> None:
    """Let a server set a rate limit in its answers, and lift it."""
    async with injector.inject("limit", injector.pick_server()) as name:
        per_s = injector.rng.choice(LIMITS_PER_S)
        await injector.configure_server(name, limit_per_s=per_s)
        set_s = injector.read_clock()
        await injector.sleep_random(LIMITED_MIN_S, LIMITED_MAX_S)
        injector.limits.append(Limit(name, per_s, set_s, injector.read_clock()))
        await injector.configure_server(name, limit_per_s=None)


async def leave(injector: FaultInjector) -> None:
    """Let a server say in its answers that it leaves, then restart it."""
    async with injector.inject("leave", injector.pick_server()) as name:
        await injector.configure_server(name, leaving=True)
        said_s = injector.read_clock()
        await injector.sleep_random(LEAVING_MIN_S, LEAVING_MAX_S)
        injector.departures.append(Departure(name, said_s, injector.read_clock()))
        injector.fleet.signal(name, signal.SIGTERM)
        await injector.harness.wait_for_exit(name)
        injector.restart(name)


async def edit(injector: FaultInjector) -> None:
    """Edit the settings, as one operator or as two at once."""
    value = injector.pick_setting_value()
    values = [value, value + 1][: injector.rng.randint(1, 2)]
    versions = await asyncio.gather(
        *(edit_settings(injector.harness, v) for v in values)
    )
    now_s = injector.read_clock()
    injector.edits += [
        Edit(version, new_value, now_s)
        for version, new_value in zip(versions, values, strict=True)
        if version is not None
    ]


async def read(injector: FaultInjector) -> None:
    """Read the settings from one control host."""
    requested_s = injector.read_clock()
    host = injector.rng.choice(injector.fleet.control_hosts)
    settings = await read_settings(injector.harness, [host])
    if settings is not None:
        injector.reads.append(Read(settings[0], requested_s))


async def evacuate(injector: FaultInjector) -> None:
    """Take a failure domain out of service and back in."""
    async with injector.inject("out", injector.pick_domain()) as domain:
        status, _ = await injector.harness.run_sapphirectl(
            "domain", "out", domain, "--force"
        )
        accepted_s = injector.read_clock()
        await injector.sleep_random(EVACUATED_MIN_S, EVACUATED_MAX_S)
        return_requested_s = injector.read_clock()
        if status == 0:
            injector.evacuations.append(
                Evacuation(domain, accepted_s, return_requested_s)
            )
        await injector.retry_sapphirectl("domain", "in", domain)


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
"""Faults to choose from; those listed twice are injected twice as often."""

REPORT_FAULTS: tuple[Fault, ...] = (limit_server, leave)
"""Faults that servers report in their answers; drawn apart from the others."""
