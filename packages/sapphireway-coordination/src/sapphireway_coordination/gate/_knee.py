"""Estimate of the knee, the concurrency above which a server's throughput falls.

Answers loads that would keep a server at all of its slots. Some servers slow down when
nearly all slots are in use, and then finish less than with some slots left free.
Whether a server does so shows only in how long its requests take, so run times at each
number of requests in flight are compared with the usual one of their kind at low load.
The bound is the number at which the most requests are finished per second.

The fastest fifth of the requests is compared: the others may have waited for calls that
the server made meanwhile, or were ended at a time limit. Only the work slows down above
a knee, and such waits do not, so the part of the run time that is work counts as well.
If the server doesn't report how slow its host is, only the very fastest are compared:
a slow host has more requests in flight, so that its slowness looks like a knee.
"""

import collections
import math
from collections.abc import Sequence

LOW_SHARE_MAX = (
    0.75  # of the slots; up to it, servers are assumed to run at usual speed
)
LEVELS_MAX = 4  # numbers of requests in flight that are told apart above that share
# Slowdown above that share that is assumed without evidence, and the number of requests
# that outweigh it. A server that is loaded fully for the first time is so kept below
# its knee, and a first short trial shows whether it has one.
SLOWDOWN_ASSUMED = 1.6
ASSUMED_WEIGHT = 5.0
SLOWDOWN_MAX = 10.0  # of a level at which most requests were ended at a time limit
QUANTILE = 0.2
UNREPORTED_QUANTILE = 0.08  # if the slowness of the host is not reported
MEAN_TO_QUANTILE = 1.3  # mean work of a kind, relative to that of the fastest fifth
SAMPLES_MAX = 24  # that are kept of each level
USUAL_SAMPLES_MAX = 40  # that are kept of each kind at low load
GAIN_MIN = 1.02  # by which more requests in flight must raise the throughput
KINDS_MAX = 256
# Nothing else would show that all slots no longer cost throughput, or what a server
# that is loaded fully from its start would do with fewer.
TRIAL_S = 0.8  # longer than most runs
TRIAL_PAUSE_MIN_S = 2.0
TRIAL_PAUSE_MAX_S = 20.0
TRIAL_PAUSE_GROWTH = 5.0  # after each trial that changed nothing
USUAL_SAMPLES_MIN = 8  # of a kind at low load, before others are compared with them
USUAL_AGE_MAX_S = 10.0


class UsualTimes:
    """Run times of one kind of request at low load.

    Attributes
    ----------
    samples : deque of float
        Logarithms of the latest run times; infinite for requests ended at a time limit.
    quantile : float
        Value that the given share of the samples does not exceed.
    run_s, work_s : float
        Sum of the run times of those that finished, and how much of it was work.
    """

    __slots__ = ("quantile", "run_s", "samples", "work_s")

    def __init__(self):
        self.samples = collections.deque(maxlen=USUAL_SAMPLES_MAX)
        self.quantile = math.inf
        self.run_s = self.work_s = 0.0

    def add(self, log_work: float, share: float) -> None:
        """Add one request; `share` is that of the fastest that are compared."""
        self.samples.append(log_work)
        self.quantile = find_quantile(self.samples, share)
        finished = [math.exp(x) for x in self.samples if x != math.inf]
        self.run_s = self.work_s = sum(finished)
        if self.quantile != math.inf:
            typical_s = MEAN_TO_QUANTILE * math.exp(self.quantile)
            self.work_s = min(self.run_s, typical_s * len(finished))


class KneeEstimator:
    """Compares the run times of one server's requests at each load.

    Parameters
    ----------
    slots : int
        Requests that the server runs at the same time.

    Attributes
    ----------
    allowed : int
        How many requests may be in flight now: the bound, or the level on trial.
    slowness_reported : bool
        Whether the server reports how slow its host is, so that run times are those on
        an undisturbed host.
    """

    __slots__ = (
        "_bound",
        "_last_usual_s",
        "_levels",
        "_next_trial_s",
        "_pause_s",
        "_samples",
        "_slots",
        "_slowdowns",
        "_trial_until_s",
        "_usual",
        "_work_share",
        "allowed",
        "slowness_reported",
    )

    def __init__(self, slots: int):
        self.slowness_reported = False
        self._usual = {}
        self._last_usual_s = -math.inf
        self._work_share = 1.0
        self._slots = 0
        self.set_slots(slots)

    @property
    def _quantile(self):
        return QUANTILE if self.slowness_reported else UNREPORTED_QUANTILE

    @property
    def bound(self) -> int:
        """Number of requests in flight that the server is fastest with, by now."""
        return self._levels[self._bound]

    def set_slots(self, slots: int) -> None:
        """Forget the slowdowns if the number of slots is another than before."""
        if slots == self._slots:
            return
        self._slots = slots
        self._levels = list_levels(slots)
        self._samples = [collections.deque(maxlen=SAMPLES_MAX) for _ in self._levels]
        self._slowdowns = [self._estimate_slowdown(i) for i in range(len(self._levels))]
        self._bound = self._find_best()
        self.allowed = self.bound
        self._next_trial_s = self._trial_until_s = -math.inf
        self._pause_s = TRIAL_PAUSE_MIN_S

    def record(
        self,
        now_s: float,
        kind: str,
        work_s: float,
        in_flight: float,
        *,
        finished: bool = True,
    ) -> None:
        """Add one request that ran.

        Parameters
        ----------
        now_s : float
        kind : str
        work_s : float
            Time that it ran, on an undisturbed host.
        in_flight : float
            Mean number of requests in flight meanwhile, including itself.
        finished : bool
            False if it was ended at a time limit: it would have taken longer.
        """
        level = self._find_level(in_flight)
        log_work = math.log(max(work_s, 1e-6)) if finished else math.inf
        if level == 0:
            self._record_usual(now_s, kind, log_work)
            return
        usual = self._usual.get(kind)
        if usual is None or len(usual.samples) < USUAL_SAMPLES_MIN:
            return
        if usual.quantile == math.inf:
            return
        self._samples[level].append(log_work - usual.quantile)
        self._slowdowns[level] = self._estimate_slowdown(level)
        self._work_share = self._estimate_work_share()
        bound = self._find_best()
        if bound != self._bound:
            self._bound = bound
            self._pause_s = TRIAL_PAUSE_MIN_S

    def update_allowed(self, now_s: float, in_flight: int) -> None:
        """Begin or end a trial; only this changes `allowed`.

        Parameters
        ----------
        now_s : float
        in_flight : int
            Requests that are in flight; trials begin only at the bound.
        """
        top = len(self._levels) - 1
        at_top = self._bound == top
        allowed = self._bound
        if not at_top or now_s - self._last_usual_s >= USUAL_AGE_MAX_S:
            if self._is_on_trial(now_s, in_flight):
                allowed = 0 if at_top else top
        self.allowed = self._levels[allowed]

    def _is_on_trial(self, now_s, in_flight):
        due = now_s >= self._next_trial_s and in_flight >= self._levels[self._bound]
        if due and (self._bound or self._knows_usual()):
            self._trial_until_s = now_s + TRIAL_S
            self._next_trial_s = self._trial_until_s + self._pause_s
            self._pause_s = min(TRIAL_PAUSE_GROWTH * self._pause_s, TRIAL_PAUSE_MAX_S)
        return now_s < self._trial_until_s

    def _knows_usual(self):
        known = (len(usual.samples) for usual in self._usual.values())
        return max(known, default=0) >= USUAL_SAMPLES_MIN

    def _find_level(self, in_flight):
        count = round(in_flight)
        for index, level in enumerate(self._levels):
            if count <= level:
                return index
        return len(self._levels) - 1

    def _record_usual(self, now_s, kind, log_work):
        usual = self._usual.get(kind)
        if usual is None:
            if len(self._usual) >= KINDS_MAX:
                return
            usual = self._usual[kind] = UsualTimes()
        usual.add(log_work, self._quantile)
        self._last_usual_s = now_s

    def _estimate_slowdown(self, level):
        if level == 0:
            return 0.0
        samples = self._samples[level]
        assumed = ASSUMED_WEIGHT * math.log(SLOWDOWN_ASSUMED)
        if not samples:
            return assumed / ASSUMED_WEIGHT
        slowest = math.log(SLOWDOWN_MAX)
        slowdown = min(find_quantile(samples, self._quantile), slowest)
        weight = ASSUMED_WEIGHT + len(samples)
        return (assumed + len(samples) * slowdown) / weight

    def _estimate_work_share(self):
        """Return which part of the run time at low load was work."""
        run_s = sum(usual.run_s for usual in self._usual.values())
        work_s = sum(usual.work_s for usual in self._usual.values())
        return work_s / run_s if run_s else 1.0

    def _find_best(self):
        best = 0
        for index in range(1, len(self._levels)):
            gain = self._compute_throughput(index) / self._compute_throughput(best)
            if gain > GAIN_MIN:
                best = index
        return best

    def _compute_throughput(self, index):
        slowdown = math.exp(self._slowdowns[index])
        return self._levels[index] / (1.0 + self._work_share * (slowdown - 1.0))


def find_quantile(samples: Sequence[float], share: float) -> float:
    """Return the value that a share of the samples does not exceed."""
    return sorted(samples)[int(share * len(samples))]


def list_levels(slots: int) -> list[int]:
    """Return the numbers of requests in flight that are told apart, in rising order.

    The first is the highest at which a server is assumed to run at its usual speed, the
    last is all slots.
    """
    low = max(1, int(LOW_SHARE_MAX * slots))
    above = slots - low
    count = min(above, LEVELS_MAX)
    return [low] + [low + math.ceil(above * i / count) for i in range(1, count + 1)]
