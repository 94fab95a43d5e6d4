"""Proof that a node's routing table is recent enough to judge API keys."""

import asyncio
import collections
import math
import random
from collections.abc import Callable
from typing import Any

import msgspec

from sapphireway_coordination.membership import ControlHostList
from sapphireway_protocol import (
    AskConfirmation,
    NotRun,
    NotRunReason,
    Peers,
    TableConfirmed,
)
from sapphireway_transport import Instant, ReadInstant, compute_age, shift_back

MARGIN_SHARE = 0.05  # of the bound; far above the drift of clocks
REFRESH_AGE_S = 1.2  # with the age of shared proofs, about one question a second
ASK_INTERVAL_S = 0.2  # until another control host is asked as well
USE_S = 2.0  # time without keyed requests after which an asking ends unanswered
WAIT_SHARE = 0.25  # of a request's remaining time
WAIT_MAX_S = 1.0  # from the beginning of an asking
RETRY_AFTER_S = 2 * ASK_INTERVAL_S  # the next question is answered by then
PROOFS_MAX = 32


class Proof(msgspec.Struct, frozen=True):
    """At an instant, no routing table newer than a version was acknowledged.

    Attributes
    ----------
    version : int
        Journal index of the publication.
    since : Instant
    """

    version: int
    since: Instant


class ConfirmationLost(msgspec.Struct, frozen=True):
    """Event: keyed requests are refused, as no proof is young enough.

    Attributes
    ----------
    age_s : float or None
        Age of the newest proof for the table in force; None if there is none.
    version : int
        Journal index of the table in force.
    """

    age_s: float | None
    version: int


class ConfirmationRegained(msgspec.Struct, frozen=True):
    """Event: keyed requests are served again.

    Attributes
    ----------
    lost_s : float
        Time since the first refusal.
    version : int
    """

    lost_s: float
    version: int


class Confirmation:
    """Says whether the routing table in force may judge API keys.

    Parameters
    ----------
    peers : Peers
    control_hosts : ControlHostList
    get_version : callable
        Returns the journal index of the routing table in force.
    bound_s : float
        Time after the acknowledgement of a table within which it binds all requests.
    rng : random.Random
    read_instant : ReadInstant
    observe : callable
        Called with `ConfirmationLost` and `ConfirmationRegained`.
    """

    __slots__ = (
        "_asking_since_s",
        "_changed",
        "_control_hosts",
        "_get_version",
        "_last_host",
        "_last_use_s",
        "_lost_since_s",
        "_observe",
        "_peers",
        "_proofs",
        "_read_instant",
        "_refresh_s",
        "_rng",
        "_valid_s",
        "_wanted",
    )

    def __init__(
        self,
        peers: Peers,
        control_hosts: ControlHostList,
        get_version: Callable[[], int],
        bound_s: float,
        rng: random.Random,
        read_instant: ReadInstant,
        observe: Callable[[Any], None] = lambda event: None,
    ):
        self._asking_since_s = -math.inf
        self._changed = asyncio.Event()
        self._control_hosts = control_hosts
        self._get_version = get_version
        self._last_host = None
        self._last_use_s = -math.inf
        self._lost_since_s = None
        self._observe = observe
        self._peers = peers
        self._proofs = collections.deque(maxlen=PROOFS_MAX)
        self._read_instant = read_instant
        self._rng = rng
        self._valid_s = bound_s * (1.0 - MARGIN_SHARE)
        self._refresh_s = min(REFRESH_AGE_S, self._valid_s / 2)
        self._wanted = asyncio.Event()

    async def confirm(self, deadline_s: float, recent: bool = False) -> NotRun | None:
        """Return None if the table in force may judge a request that has been read.

        Waits for a proof during a small part of the time until `deadline_s`, a reading
        of the event loop's clock. The table must be used before the next pause.

        Parameters
        ----------
        deadline_s : float
        recent : bool, default=False
            Whether the proof must be younger than needed for a revocation, so that the
            table has all keys that should be in force everywhere.
        """
        loop = asyncio.get_running_loop()
        if loop.time() - self._last_use_s > USE_S:
            # The node was idle or frozen, so an asking before says nothing.
            self._asking_since_s = loop.time()
        self._last_use_s = loop.time()
        age_s = self.compute_age()
        if not self._wanted.is_set() and age_s >= self._refresh_s:
            self._asking_since_s = loop.time()
            self._wanted.set()
        limit_s = self._refresh_s if recent else self._valid_s
        if age_s >= limit_s:
            remaining_s = max(0.0, deadline_s - loop.time())
            end_s = min(
                loop.time() + remaining_s * WAIT_SHARE,
                self._asking_since_s + WAIT_MAX_S,
            )
            age_s = await self._wait_until_younger(limit_s, end_s)
        if age_s >= limit_s:
            return self._refuse(age_s)
        if self._lost_since_s is not None:
            lost_s = loop.time() - self._lost_since_s
            self._lost_since_s = None
            self._observe(ConfirmationRegained(lost_s, self._get_version()))
        return None

    def compute_age(self) -> float:
        """Return the age of the newest proof for the table in force, in seconds.

        It is infinite if there is no proof.
        """
        version, now = self._get_version(), self._read_instant()
        ages = [
            compute_age(proof.since, now)
            for proof in self._proofs
            if proof.version <= version
        ]
        return min(ages, default=math.inf)

    def notify(self) -> None:
        """Wake waiting requests after another routing table came into force."""
        self._changed.set()

    async def run(self) -> None:
        """Ask for proofs while there are keyed requests, until cancelled."""
        while True:
            await self._wanted.wait()
            await self._ask_until_recent()
            self._wanted.clear()

    def _refuse(self, age_s):
        if self._lost_since_s is None and age_s >= self._valid_s:
            self._lost_since_s = asyncio.get_running_loop().time()
            known_s = age_s if math.isfinite(age_s) else None
            self._observe(ConfirmationLost(known_s, self._get_version()))
        detail = "no control host has confirmed the routing table"
        if math.isfinite(age_s):
            detail += f" for {age_s:.1f} s"
        return NotRun(NotRunReason.UNCONFIRMED, RETRY_AFTER_S, detail)

    async def _wait_until_younger(self, limit_s, end_s):
        """Return the newest proof's age once it is below a limit, or at `end_s`."""
        loop = asyncio.get_running_loop()
        while True:
            age_s = self.compute_age()
            if age_s < limit_s or loop.time() >= end_s:
                return age_s
            self._changed.clear()
            try:
                async with asyncio.timeout_at(end_s):
                    await self._changed.wait()
            except TimeoutError:
                pass

    async def _ask_until_recent(self):
        """Ask control hosts in turn until one confirms, or nobody needs it."""
        loop = asyncio.get_running_loop()
        questions = collections.deque()
        hosts = []
        try:
            while not self._has_recent_proof():
                if loop.time() - self._last_use_s > USE_S:
                    return
                hosts = hosts or self._order_hosts()
                questions.append(loop.create_task(self._ask(hosts.pop(0))))
                if len(questions) > 2 * len(self._control_hosts.addresses):
                    questions.popleft().cancel()
                await self._wait_for_answer()
        finally:
            for question in questions:
                question.cancel()

    async def _wait_for_answer(self):
        loop = asyncio.get_running_loop()
        end_s = loop.time() + ASK_INTERVAL_S
        while not self._has_recent_proof() and loop.time() < end_s:
            self._changed.clear()
            try:
                async with asyncio.timeout_at(end_s):
                    await self._changed.wait()
            except TimeoutError:
                pass

    async def _ask(self, host):
        since = self._read_instant()
        # A late answer is still a proof, with the age of its question.
        reply = await self._peers.request(host, AskConfirmation(), self._valid_s)
        if reply is None or not isinstance(reply.message, TableConfirmed):
            return
        self._last_host = host
        answer = reply.message
        self._record(Proof(answer.version, shift_back(since, max(0.0, answer.age_s))))

    def _record(self, proof):
        version, now = self._get_version(), self._read_instant()
        age_s = self.compute_age()
        # A proof of a table that is not in force yet must not displace an older one
        # that is.
        kept = [
            known
            for known in self._proofs
            if known.version > version or compute_age(known.since, now) <= age_s
        ]
        self._proofs.clear()
        self._proofs.extend([*kept, proof])
        self._changed.set()

    def _has_recent_proof(self):
        now = self._read_instant()
        return any(
            compute_age(proof.since, now) < self._refresh_s for proof in self._proofs
        )

    def _order_hosts(self):
        hosts = list(self._control_hosts.addresses)
        self._rng.shuffle(hosts)
        if self._last_host in hosts:
            hosts.remove(self._last_host)
            hosts.insert(0, self._last_host)
        return hosts
