"""Servers that an entry node leaves out for a while after failures or silence."""

import random
from collections.abc import Sequence

from sapphireway_coordination.routing._call import Call
from sapphireway_coordination.routing._events import (
    MemberEjected,
    MemberRestored,
    ObserveCall,
)
from sapphireway_coordination.routing._loads import ServerLoad

FAILURES_MAX = 2
EJECTION_MIN_S = 0.2
EJECTION_MAX_S = 5.0
SILENCE_S = 5.0
TRIAL_S = 2.0


class Ejector:
    """Ejects servers and decides which of them may be tried.

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

    def take_failure(self, load: ServerLoad, now_s: float, detail: str) -> None:
        """Count a failure; eject the server after a few in a row."""
        load.take_failure(now_s)
        if load.failures_in_row < FAILURES_MAX or load.is_ejected(now_s):
            return
        duration_s = min(EJECTION_MIN_S * 2**load.ejections, EJECTION_MAX_S)
        self._eject(load, duration_s * self._rng.uniform(0.75, 1.25), now_s, detail)

    def take_silence(self, load: ServerLoad, now_s: float) -> None:
        """Eject a server whose node does not answer, until it is heard again."""
        if load.silent:
            return
        load.silent = True
        self._eject(load, SILENCE_S, now_s, "its node does not answer")

    def take_sign_of_life(self, load: ServerLoad, now_s: float) -> None:
        """End an ejection for silence."""
        if not load.silent:
            return
        load.silent = False
        load.ejected_until_s = now_s
        self._observe(MemberRestored(load.member.service, load.member.server))

    def take_success(self, load: ServerLoad, now_s: float) -> None:
        """Count a good answer; a server on trial is a full member again."""
        if load.ejections:
            load.ejected_until_s = now_s
            self._observe(MemberRestored(load.member.service, load.member.server))
        load.take_success(now_s)

    def _eject(self, load, duration_s, now_s, detail):
        load.ejections += 1
        load.ejected_until_s = now_s + duration_s
        member = load.member
        self._observe(MemberEjected(member.service, member.server, duration_s, detail))


def list_usable(
    loads: Sequence[ServerLoad], call: Call, now_s: float
) -> Sequence[ServerLoad]:
    """Return the servers that are not ejected, or all of them in a panic.

    A server whose ejection just ended is tried with idempotent calls first: they
    can be repeated if the trial fails.
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
    """Tell whether a server has not shown itself good since an ejection."""
    return load.ejections > 0 and now_s < load.ejected_until_s + TRIAL_S
