"""Decision on a rollout: hold, advance, complete or roll back.

Made for versions that are bad from the start, later, under load only or on one kind of
request only, on fleets whose own answers fail now and then and are several times slower
for half a second at a time. Each kind of request is compared with the old version under
the same load, and all kinds together.
"""

import enum
import math
from collections.abc import Mapping

import msgspec

from sapphireway_coordination.rollouts._evidence import Evidence, KindStats

SHARES = (0.05, 0.2, 0.5, 1.0)
# Part of a rollout's time after which each share may start. Until all requests go to
# the new version it has had less than a tenth of those of the whole time, also if it
# shows its fault only then: 0.05 for 0.62, 0.2 for 0.13 and 0.5 for 0.07 of the time.
START_AFTER = {0.05: 0.0, 0.2: 0.62, 0.5: 0.75, 1.0: 0.82}
STEP_MIN_S = 1.5  # a version that is bad under a step's load shows it within this time
STEP_HURRIED_S = 0.75  # the shortest step, when the deadline is near
# Answers to each kind of request before the next step; as many good ones rule out a
# version that fails every tenth.
KIND_ANSWERS_MIN = 30
KIND_RECENT_ANSWERS_MIN = 10  # of them under the present load
KIND_SHARE_MIN = 0.1  # of the old version's answers, for a kind to be waited for
FAILURES_TOLERATED = 0.02  # share of failures by which a good version may be worse
SLOW_TOLERATED = 0.05  # share of slow answers by which a good version may be worse
# Chance of so many slow answers, or failures, at a good version, below which a version
# is rolled back. The test is repeated several times a second, on answers that are slow
# in groups; a good version fails far less often than is tolerated.
SLOW_P_VALUE = 3e-4
FAILURES_P_VALUE = 0.01
# The same to hold the share until there is more evidence.
SLOW_SUSPICION_P_VALUE = 0.05
FAILURES_SUSPICION_P_VALUE = 0.1
# For slow answers when the deadline is near: a good version that misses it costs less
# than a bad one that gets all requests.
SLOW_HURRIED_P_VALUE = 0.01
FAILURES_MIN = 3  # fewer show nothing, whatever the number of answers
# Slow answers come in groups, as a slow host delays all requests that it runs, so
# each counts as half an independent observation.
SLOW_GROUP_SIZE = 2
REFERENCE_ANSWERS_MIN = 30  # of the old version, to take its rates as known
COMPLETION_RESERVE_S = 1.5  # for the end of the requests at the old servers


class Action(enum.StrEnum):
    """What to do with a running rollout."""

    HOLD = "hold"
    ADVANCE = "advance"
    COMPLETE = "complete"
    ROLL_BACK = "roll_back"


class Decision(msgspec.Struct, frozen=True):
    """The decision and the evidence behind it.

    Attributes
    ----------
    action : Action
    share : float
        Share of the requests that the new version may get from now on.
    detail : str
        One line for humans.
    """

    action: Action
    share: float
    detail: str


def decide(evidence: Evidence) -> Decision:
    """Return what to do with a running rollout."""
    problem = find_problem(evidence, FAILURES_P_VALUE, SLOW_P_VALUE)
    if problem:
        return Decision(Action.ROLL_BACK, 0.0, problem)
    answers = sum(stats.answers for stats in evidence.new.total.values())
    if evidence.remaining_s <= 0.0:
        return _decide_at_deadline(evidence, answers)
    if evidence.share >= SHARES[-1]:
        if evidence.step_s >= _get_step_time(evidence):
            detail = f"no evidence against it in {answers} answers"
            return Decision(Action.COMPLETE, evidence.share, detail)
        return Decision(Action.HOLD, evidence.share, "carries all requests")
    return _decide_step(evidence, answers)


def find_problem(evidence: Evidence, p_failures: float, p_slow: float) -> str:
    """Return one line on why the new version is bad; "" if nothing shows it.

    Parameters
    ----------
    evidence : Evidence
    p_failures, p_slow : float
        Chance of so many failures, and of so many slow answers, at a good version,
        below which the new version is bad.
    """
    old, new = evidence.old, evidence.new
    for span, sample in (("", new.total), ("recently ", new.recent)):
        for kind, stats in (*sample.items(), ("all kinds", _add(sample.values()))):
            references = [_get(part, kind) for part in (old.total, old.recent)]
            problem = _compare(stats, references, p_failures, p_slow)
            if problem:
                return f"{kind}: {span}{problem}"
    return ""


def _compare(stats, references, p_failures, p_slow):
    failure_rate = _find_highest_rate(references, lambda r: r.failures)
    allowed = failure_rate + FAILURES_TOLERATED
    chance = compute_tail(stats.failures, stats.answers, allowed)
    if stats.failures >= FAILURES_MIN and chance < p_failures:
        return (
            f"{stats.failures} of {stats.answers} answers failed, "
            f"{failure_rate:.1%} at the old version"
        )
    slow_rate = _find_highest_rate(references, lambda r: r.slow)
    allowed = slow_rate + SLOW_TOLERATED
    events, trials = stats.slow // SLOW_GROUP_SIZE, stats.answers // SLOW_GROUP_SIZE
    if compute_tail(events, trials, allowed) < p_slow:
        return (
            f"{stats.slow} of {stats.answers} answers were slow, "
            f"{slow_rate:.1%} at the old version"
        )
    return ""


def compute_tail(events: int, trials: int, probability: float) -> float:
    """Return the chance of at least `events` in `trials` with this probability each."""
    if events <= trials * probability:
        return 1.0
    if probability >= 1.0:
        return 1.0
    term = math.exp(
        math.lgamma(trials + 1)
        - math.lgamma(events + 1)
        - math.lgamma(trials - events + 1)
        + events * math.log(probability)
        + (trials - events) * math.log1p(-probability)
    )
    total = 0.0
    odds = probability / (1.0 - probability)
    for count in range(events, trials + 1):
        total += term
        if term < total * 1e-9:
            break
        term *= odds * (trials - count) / (count + 1)
    return total


def _decide_step(evidence, answers):
    share = _get_next_share(evidence.share)
    if not evidence.new_servers:
        return Decision(Action.HOLD, evidence.share, "waits for the new servers")
    if evidence.share and evidence.step_s < _get_step_time(evidence):
        return Decision(Action.HOLD, evidence.share, "gathers evidence")
    if evidence.age_s < START_AFTER[share] * (evidence.age_s + evidence.remaining_s):
        return Decision(Action.HOLD, evidence.share, f"too early for {share:.0%}")
    scarce = _find_scarce_kind(evidence) if evidence.share else ""
    if scarce and not _is_hurried(evidence):
        return Decision(Action.HOLD, evidence.share, f"too few answers to {scarce}")
    suspicion = _find_suspicion(evidence)
    if suspicion:
        return Decision(Action.HOLD, evidence.share, suspicion)
    if evidence.new_servers < share * evidence.old_servers:
        detail = f"{evidence.new_servers} new servers cannot carry {share:.0%}"
        return Decision(Action.HOLD, evidence.share, detail)
    detail = f"no evidence against it in {answers} answers"
    return Decision(Action.ADVANCE, share, detail)


def _find_scarce_kind(evidence):
    old = evidence.old.total
    answers_min = KIND_SHARE_MIN * _add(old.values()).answers
    for kind, stats in old.items():
        if stats.answers < answers_min:
            continue
        total = evidence.new.total.get(kind, KindStats()).answers
        recent = evidence.new.recent.get(kind, KindStats()).answers
        if total < KIND_ANSWERS_MIN or recent < KIND_RECENT_ANSWERS_MIN:
            return kind
    return ""


def _decide_at_deadline(evidence, answers):
    if not answers:
        detail = "no server of the new version answered before the deadline"
        return Decision(Action.ROLL_BACK, 0.0, detail)
    suspicion = _find_suspicion(evidence)
    if suspicion:
        return Decision(Action.ROLL_BACK, 0.0, f"deadline; {suspicion}")
    if evidence.share >= SHARES[-1]:
        detail = f"deadline; no evidence against it in {answers} answers"
        return Decision(Action.COMPLETE, evidence.share, detail)
    if evidence.new_servers < evidence.old_servers * SHARES[-2]:
        detail = "too few servers of the new version at the deadline"
        return Decision(Action.ROLL_BACK, 0.0, detail)
    detail = f"deadline; no evidence against it in {answers} answers"
    return Decision(Action.ADVANCE, SHARES[-1], detail)


def _get_next_share(share):
    return next((s for s in SHARES if s > share), SHARES[-1])


def _get_step_time(evidence):
    return STEP_HURRIED_S if _is_hurried(evidence) else STEP_MIN_S


def _find_suspicion(evidence):
    hurried = _is_hurried(evidence)
    p_slow = SLOW_HURRIED_P_VALUE if hurried else SLOW_SUSPICION_P_VALUE
    return find_problem(evidence, FAILURES_SUSPICION_P_VALUE, p_slow)


def _is_hurried(evidence):
    """Return whether steps of the usual length would miss the deadline."""
    steps_left = sum(share > evidence.share for share in SHARES)
    needed_s = steps_left * STEP_MIN_S + COMPLETION_RESERVE_S
    return evidence.remaining_s < needed_s


def _get(sample: Mapping[str, KindStats], kind: str) -> KindStats:
    if kind == "all kinds":
        return _add(sample.values())
    return sample.get(kind, KindStats())


def _add(stats) -> KindStats:
    stats = list(stats)
    return KindStats(
        sum(s.answers for s in stats),
        sum(s.failures for s in stats),
        sum(s.slow for s in stats),
    )


def _find_highest_rate(references, get_events):
    """Return the highest rate among references with enough answers to tell it.

    The old version gets no recent answers once the new one carries all requests.
    """
    known = [r for r in references if r.answers >= REFERENCE_ANSWERS_MIN]
    if known:
        return max(get_events(r) / r.answers for r in known)
    return max((get_events(r) + 1) / (r.answers + 2) for r in references)
