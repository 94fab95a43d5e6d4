"""Control of the running rollouts on the leader of the control quorum."""

import asyncio
from collections.abc import Awaitable, Callable, Iterable, Mapping, Sequence
from typing import Any

import msgspec

from sapphireway_coordination.membership import GetMembers
from sapphireway_coordination.rollouts._decision import Action, Decision, decide
from sapphireway_coordination.rollouts._evidence import Evidence
from sapphireway_coordination.rollouts._ledger import ReportLedger
from sapphireway_coordination.rollouts._order_age import OrderAge
from sapphireway_protocol import Peers, VersionReport
from sapphireway_state import (
    EndRollout,
    Rollout,
    RolloutAccepted,
    RolloutState,
    StepRollout,
    VersionRole,
    decode_rollout_result,
    encode_rollout_command,
)

DECISION_INTERVAL_S = 0.25
# After a longer pause, reports that arrived meanwhile may not have been read yet.
PAUSE_MAX_S = 1.0
# A host that has been up for less may just be replaying the journal.
REPLAY_MAX_S = 3.0
MS_PER_S = 1000.0

ProposeRollout = Callable[[bytes], Awaitable[bytes | None]]
"""Commits a command to the journal; None if it is not known to be committed."""

ListSettingsVersions = Callable[[], Awaitable[Mapping[str, int]]]
"""Returns the settings version in force at each live node, 0 if unknown."""


class RolloutDecided(msgspec.Struct, frozen=True):
    """Event: a step or the end of a rollout was proposed.

    Attributes
    ----------
    service, version : str
    action : Action
    share : float
    detail : str
        Evidence behind the decision.
    old_answers, old_failures, old_slow : int
    new_answers, new_failures, new_slow : int
        Counts of both versions since the order.
    age_s : float
        Age of the order.
    accepted : bool
    """

    service: str
    version: str
    action: Action
    share: float
    detail: str
    old_answers: int
    old_failures: int
    old_slow: int
    new_answers: int
    new_failures: int
    new_slow: int
    age_s: float
    accepted: bool


class RolloutHeld(msgspec.Struct, frozen=True):
    """Event: a rollout stays where it is for another reason than before.

    Attributes
    ----------
    service, version : str
    share : float
    detail : str
    age_s : float
        Age of the order.
    """

    service: str
    version: str
    share: float
    detail: str
    age_s: float


class _Case:
    """What this host knows of one running rollout besides the journal."""

    __slots__ = ("age", "held", "ledger", "order")

    def __init__(self, order, age):
        self.age = age
        self.held = ""
        self.ledger = ReportLedger()
        self.order = order


class RolloutController:
    """Gathers reports on the running rollouts, and decides on them while it leads.

    Two controllers may run concurrently, as during a change of leader: commands name
    the order, shares only rise, and the first end of a rollout counts.

    Parameters
    ----------
    peers : Peers
    list_rollouts : callable
        Returns the last rollout of each service in the journal.
    get_members : GetMembers
    list_settings_versions : callable
    propose : callable
    is_leader : callable
    wall_clock : callable
        Seconds since the epoch.
    observe : callable
        Called with each event.
    """

    __slots__ = (
        "_cases",
        "_checked_s",
        "_get_members",
        "_is_leader",
        "_list_rollouts",
        "_list_settings_versions",
        "_observe",
        "_propose",
        "_started_s",
        "_wall_clock",
    )

    def __init__(
        self,
        peers: Peers,
        list_rollouts: Callable[[], Iterable[Rollout]],
        get_members: GetMembers,
        list_settings_versions: ListSettingsVersions,
        propose: ProposeRollout,
        is_leader: Callable[[], bool],
        wall_clock: Callable[[], float],
        observe: Callable[[Any], None] = lambda event: None,
    ):
        self._cases = {}
        self._checked_s = self._started_s = asyncio.get_running_loop().time()
        self._get_members = get_members
        self._is_leader = is_leader
        self._list_rollouts = list_rollouts
        self._list_settings_versions = list_settings_versions
        self._observe = observe
        self._propose = propose
        self._wall_clock = wall_clock
        peers.handle(VersionReport, self._handle_report)

    async def run(self) -> None:
        """Check the running rollouts until cancelled."""
        while True:
            now_s = self._now()
            self._update_cases(now_s)
            if self._is_leader():
                rollouts = [r for r in self._list_rollouts() if r.running]
                await asyncio.gather(*map(self._check, rollouts))
            await asyncio.sleep(DECISION_INTERVAL_S)

    def _update_cases(self, now_s):
        running = {r.service: r for r in self._list_rollouts() if r.running}
        for service, case in list(self._cases.items()):
            rollout = running.get(service)
            if rollout is None or rollout.order != case.order:
                del self._cases[service]
        for rollout in running.values():
            case = self._find_case(rollout, now_s)
            case.age.update(rollout, now_s)
            if now_s - self._checked_s > PAUSE_MAX_S:
                case.age.restart_step(now_s)
        self._checked_s = now_s

    def _find_case(self, rollout, now_s):
        case = self._cases.get(rollout.service)
        if case is None or case.order != rollout.order:
            was_up = now_s - self._started_s > REPLAY_MAX_S
            age = OrderAge(rollout, now_s, self._wall_clock(), was_up)
            case = self._cases[rollout.service] = _Case(rollout.order, age)
        return case

    async def _check(self, rollout):
        case = self._cases[rollout.service]
        now_s = self._now()
        evidence = self._make_evidence(rollout, case, now_s)
        decision = decide(evidence)
        if decision.action is Action.COMPLETE:
            obstacle = await self._find_obstacle(rollout, case)
            if obstacle:
                decision = Decision(Action.HOLD, rollout.share, obstacle)
        if decision.action is Action.HOLD:
            self._report_hold(rollout, case, decision, now_s)
            return
        case.held = ""
        detail = f"{decision.detail} ({_describe_counts(evidence)})"
        command = _make_command(rollout, decision, detail, case.age.get_age(now_s))
        content = await self._propose(encode_rollout_command(command))
        # Empty from a control host of a release without rollouts.
        result = decode_rollout_result(content) if content else None
        accepted = isinstance(result, RolloutAccepted)
        self._report_decision(rollout, decision, evidence, case, accepted)

    def _make_evidence(self, rollout, case, now_s):
        old, new = case.ledger.make_samples(rollout, now_s)
        members = [m for m in self._get_members(rollout.service) if not m.leaving]
        by_role = {role: [] for role in VersionRole}
        for member in members:
            by_role[_get_role(rollout, member)].append(member)
        ready = [
            member
            for member in by_role[VersionRole.NEW]
            if self._is_ready(case.ledger, member, now_s)
        ]
        age_s = case.age.get_age(now_s)
        return Evidence(
            old,
            new,
            rollout.share,
            case.age.get_step_time(now_s),
            age_s,
            rollout.duration_ms / MS_PER_S - age_s,
            len(ready),
            len(by_role[VersionRole.OLD]),
        )

    def _is_ready(self, ledger, member, now_s):
        # A server that this host hears nothing of must not get more requests, as
        # nothing would be known of their answers.
        report = ledger.find_fresh(
            member.server, member.version, member.incarnation, now_s
        )
        return report is not None and not report.cold

    async def _find_obstacle(self, rollout, case):
        """Return why the old servers may not be stopped yet; "" if they may."""
        versions = await self._list_settings_versions()
        late = sorted(n for n, v in versions.items() if v < rollout.changed)
        if late or not versions:
            return f"not in force at {len(late)} nodes, {_name(late)}"
        now_s = self._now()
        busy = sorted(
            member.server
            for member in self._get_members(rollout.service)
            if _get_role(rollout, member) is not VersionRole.NEW
            and not case.ledger.is_idle(
                member.server,
                member.version,
                member.incarnation,
                rollout.changed,
                now_s,
            )
        )
        if busy:
            return f"{len(busy)} old servers may have work, {_name(busy)}"
        return ""

    def _report_hold(self, rollout, case, decision, now_s):
        if decision.detail == case.held:
            return
        case.held = decision.detail
        self._observe(
            RolloutHeld(
                rollout.service,
                rollout.version,
                rollout.share,
                decision.detail,
                round(case.age.get_age(now_s), 3),
            )
        )

    def _report_decision(self, rollout, decision, evidence, case, accepted):
        self._observe(
            RolloutDecided(
                rollout.service,
                rollout.version,
                decision.action,
                decision.share,
                decision.detail,
                *_sum_counts(evidence.old),
                *_sum_counts(evidence.new),
                round(case.age.get_age(self._now()), 3),
                accepted,
            )
        )

    def _handle_report(self, sender, envelope):
        report = envelope.message
        now_s = self._now()
        for rollout in self._list_rollouts():
            if (rollout.service, rollout.order) == (report.service, report.order):
                if rollout.running:
                    ledger = self._find_case(rollout, now_s).ledger
                    ledger.record(
                        report, envelope.incarnation, envelope.settings_version, now_s
                    )
                return

    def _now(self):
        return asyncio.get_running_loop().time()


def _make_command(rollout, decision, detail, age_s):
    age_ms = round(age_s * MS_PER_S, 3)
    if decision.action is Action.ADVANCE:
        return StepRollout(
            rollout.service, rollout.order, decision.share, detail, age_ms
        )
    completed = decision.action is Action.COMPLETE
    state = RolloutState.COMPLETED if completed else RolloutState.ROLLED_BACK
    return EndRollout(rollout.service, rollout.order, state, detail, age_ms)


def _describe_counts(evidence):
    parts = []
    for name, sample in (("old", evidence.old), ("new", evidence.new)):
        answers, failures, slow = _sum_counts(sample)
        parts.append(f"{name}: {answers} answers, {failures} failed, {slow} slow")
    return "; ".join(parts)


def _get_role(rollout, member):
    return rollout.get_role(member.version, bool(member.start_id))


def _sum_counts(sample):
    stats = list(sample.total.values())
    return (
        sum(s.answers for s in stats),
        sum(s.failures for s in stats),
        sum(s.slow for s in stats),
    )


def _name(names: Sequence[str]) -> str:
    return f"first {names[0]}" if names else "none known"
