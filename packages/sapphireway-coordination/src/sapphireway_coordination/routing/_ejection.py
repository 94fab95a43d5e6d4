"""Temporary ejection of servers that fail or do not respond."""

import random
from collections.abc import Sequence

from sapphireway_coordination.routing._call import Call
from sapphireway_coordination.routing._events import (
    MemberEjected,
    MemberRestored,
    ObserveCall,
)
from sapphireway_coordination.routing._loads import ServerLoad

EJECTION_FAILURES_MIN = 2
EJECTION_MIN_S = 0.2
EJECTION_MAX_S = 5.0
UNRESPONSIVE_EJECTION_S = 5.0
TRIAL_S = 2.0


class Ejector:
    """Ejects and restores servers.

    Parameters
    ----------
    rng : random.Random
    observe : callable
        Called with `MemberEjected` and `MemberRestored`.
    """

    __slots__ = ("_observe", "_rng")

    def __init__(self, rng: random.Random, observe: ObserveCall):
        self._observe = observe
        self._rng = rng

    def record_failure(self, load: ServerLoad, now_s: float, detail: str) -> None:
        """Record a failure; eject the server at `EJECTION_FAILURES_MIN` in a row."""
        load.record_failure(now_s)
        if load.consecutive_failures < EJECTION_FAILURES_MIN or load.is_ejected(now_s):
            return
        duration_s = min(EJECTION_MIN_S * 2**load.ejections, EJECTION_MAX_S)
        self._eject(load, duration_s * self._rng.uniform(0.75, 1.25), now_s, detail)

    def eject_unresponsive(self, load: ServerLoad, now_s: float) -> None:
        """Eject a server whose node does not answer, at most until its next report."""
        if load.unresponsive:
            return
        load.unresponsive = True
        self._eject(load, UNRESPONSIVE_EJECTION_S, now_s, "its node does not answer")

    def restore_responsive(self, load: ServerLoad, now_s: float) -> None:
        """Restore a server that was ejected as unresponsive."""
        if not load.unresponsive:
            return
        load.unresponsive = False
        load.ejected_until_s = now_s
        self._observe(MemberRestored(load.member.service, load.member.server))

    def record_success(self, load: ServerLoad, now_s: float) -> None:
        """Record a success; this ends the ejection or trial of the server."""
        if load.ejections:
            load.ejected_until_s = now_s
            self._observe(MemberRestored(load.member.service, load.member.server))
        load.record_success(now_s)

    def _eject(self, load, duration_s, now_s, detail):
        load.ejections += 1
        load.ejected_until_s = now_s + duration_s
        member = load.member
        self._observe(MemberEjected(member.service, member.server, duration_s, detail))


def list_usable(
    loads: Sequence[ServerLoad], call: Call, now_s: float
) -> Sequence[ServerLoad]:
    """Return the servers that are not ejected, or all of them in panic mode.

    Panic mode starts when more than `panic_percent` of the servers are ejected. A
    server whose ejection just ended gets idempotent calls first, as these can be
    repeated if the trial fails.
    """
    usable = [load for load in loads if not load.is_ejected(now_s)]
    ejected = len(loads) - len(usable)
    if ejected * 100.0 > call.policy.panic_percent * len(loads):
        return loads
    if call.policy.idempotent:
        return usable
    proven = [load for load in usable if not is_on_trial(load, now_s)]
    return proven or usable


def is_on_trial(load: ServerLoad, now_s: float) -> bool:
    """Return whether a server is ejected, or was lately, without a success since."""
    return load.ejections > 0 and now_s < load.ejected_until_s + TRIAL_S
