"""Requests in flight at one server, their limit and the signals that adapt it."""

import asyncio
from collections.abc import Callable

import msgspec

from sapphireway_coordination.gate._announcement import Announcement
from sapphireway_coordination.gate._cold_rate import ColdRate
from sapphireway_coordination.gate._coldstart import (
    SHED_STATUSES,
    STALL_CHECK_S,
    LatencyBaseline,
    RelapseDetector,
    is_stalled,
)
from sapphireway_coordination.gate._events import (
    LimitChanged,
    ObserveGate,
    RelapseCause,
    RelapseSeen,
    ServerCold,
    ServerLimited,
    ServerWarmed,
)
from sapphireway_coordination.gate._knee import KneeEstimator
from sapphireway_coordination.gate._limit import (
    COLD_ANSWERS_MIN,
    SLOW_ANSWERS_MIN,
    ConcurrencyLimit,
    Sample,
    UpdateLimit,
    make_additive_update,
)
from sapphireway_coordination.gate._load_clock import LoadClock, LoadReading
from sapphireway_coordination.gate._self_report import SelfReport
from sapphireway_coordination.gate._server_limit import ReportSource, ServerLimit
from sapphireway_coordination.routing import estimate_slowed_time
from sapphireway_state import check_invariant
from sapphireway_transport import Broken, NotSent, Responded, ServerResult

ABORT_LINGER_S = 0.02
CRASH_DISCONNECTS_MIN = 2
STATUS_FAILURE_MIN = 500
# How long inherited requests count as in flight at most. While their number is unknown,
# they take all slots.
INHERITED_UNKNOWN_MAX_S = 1.0
INHERITED_KNOWN_MAX_S = 10.0
REFUSED_PAUSE_S = 0.1
SPAN_SMOOTHING = 0.1  # weight of one slow period in the moving average


class RunningRequest(msgspec.Struct):
    """A request that was sent to the server.

    Attributes
    ----------
    attempt, kind, digest : str
    started_s : float
    saturated : bool
        The limit was reached when it started.
    alone : bool
        No other request may be in flight with it.
    reading : LoadReading or None
        Of the server's load clock when it started.
    """

    attempt: str
    kind: str
    digest: str
    started_s: float
    saturated: bool
    alone: bool
    reading: LoadReading | None = None


class ServerCapacity:
    """Counts and limits the requests in flight at one server.

    Parameters
    ----------
    announcement : Announcement
    cold_limit : int
    get_time : callable
        Returns the loop time.
    observe : callable
    wake : callable
        Called without arguments whenever a slot may have become free.
    inherited : int or None
        Requests that an earlier process of this node may have left in flight; None
        if unknown.
    make_update : callable
        Creates the algorithm that adapts the limit.

    Attributes
    ----------
    reserved : str or None
        Attempt that waits to run alone or does so; no other may start meanwhile.
    server_limit : ServerLimit
        Rate limit that the server sets in its answers.
    last_start_s : float
        Loop time at which the last request was sent to the server.
    slowness : float
        Factor by which work on the server's host takes longer than usual; 0 if the
        server does not report it.
    slow_span_s : float
        Average length of slow periods; 0 before the first has ended.
    """

    __slots__ = (
        "_cold_limit",
        "_cold_rate",
        "_detector",
        "_disconnects",
        "_get_time",
        "_inherited",
        "_inherited_until_s",
        "_knee",
        "_knee_applies",
        "_limit",
        "_lingering",
        "_load_clock",
        "_observe",
        "_rate_timer",
        "_refused_s",
        "_running",
        "_slow_since_s",
        "_stall_timer",
        "_wake",
        "announcement",
        "baseline",
        "last_start_s",
        "reserved",
        "server_limit",
        "slow_span_s",
        "slowness",
    )

    def __init__(
        self,
        announcement: Announcement,
        cold_limit: int,
        get_time: Callable[[], float],
        observe: ObserveGate,
        wake: Callable[[], None],
        inherited: int | None = 0,
        make_update: Callable[[], UpdateLimit] = make_additive_update,
    ):
        self.announcement = announcement
        self.baseline = LatencyBaseline()
        self.last_start_s = float("-inf")
        self.reserved = None
        self.server_limit = ServerLimit()
        self.slow_span_s = 0.0
        self.slowness = 0.0
        self._slow_since_s = get_time()
        self._disconnects = 0
        self._cold_limit = cold_limit
        self._cold_rate = ColdRate()
        self._detector = RelapseDetector()
        self._get_time = get_time
        self._inherited = announcement.slots if inherited is None else inherited
        wait_s = INHERITED_UNKNOWN_MAX_S if inherited is None else INHERITED_KNOWN_MAX_S
        self._inherited_until_s = get_time() + wait_s
        self._limit = ConcurrencyLimit(make_update)
        self._lingering = 0
        self._observe = observe
        self._rate_timer = None
        self._refused_s = None
        self._running = {}
        self._stall_timer = None
        self._wake = wake
        self._limit.set_ceiling(self._get_ceiling())
        self._knee = KneeEstimator(self._limit.ceiling)
        self._load_clock = LoadClock(get_time())
        self._knee_applies = False
        self.relapse(RelapseCause.ANNOUNCED)
        self.update_cold_time(announcement.cold_s or 0.0)
        self._update_knee_use()
        if self._inherited:
            self._schedule(wait_s, wake)

    @property
    def in_flight(self) -> int:
        """Requests of this node that the server may still be running."""
        return len(self._running) + self._lingering

    @property
    def limit(self) -> int:
        """Maximum number of requests in flight."""
        bound = self._knee.allowed if self._knee_applies else self._limit.ceiling
        if self._inherited and self._get_time() >= self._inherited_until_s:
            self._inherited = 0
        free = self._limit.ceiling - self._inherited
        return max(0, min(self._limit.value, free, bound))

    @property
    def cold(self) -> bool:
        """True until the server has warmed up."""
        if self.announcement.cold_s is not None:
            return self._cold_rate.is_cold(self._get_time())
        return self._limit.cold

    @property
    def starts_per_s(self) -> float:
        """Lowest rate limit of request starts; 0 if only the concurrency is limited."""
        rates = [self.server_limit.starts_per_s]
        if self._cold_rate.is_cold(self._get_time()):
            rates.append(self._cold_rate.per_s)
        return min(filter(None, rates), default=0.0)

    @property
    def down(self) -> bool:
        """True if the last connection attempt was refused."""
        return self._refused_s is not None

    @property
    def paused(self) -> bool:
        """True during the back-off after a refused connection."""
        if self._refused_s is None:
            return False
        return self._get_time() < self._refused_s + REFUSED_PAUSE_S

    def has_room(self) -> bool:
        """Tell whether one more request may be sent to the server."""
        self._knee.update_allowed(self._get_time(), self.in_flight)
        self._update_knee_use()
        if self.reserved is not None or self.in_flight >= self.limit:
            return False
        return self._check_start_rate()

    def has_room_alone(self) -> bool:
        """Tell whether a request that must run alone may be sent to the server."""
        return self.in_flight == 0 and self.limit > 0 and self._check_start_rate()

    def update_cold_time(self, cold_s: float) -> None:
        """Set how much longer the server is cold, as it reports itself."""
        now_s = self._get_time()
        rate_per_s = self.announcement.cold_rate_per_s
        # Reports of 0 may be older than others, so that none ends a time too long.
        cold_s = min(cold_s, self.announcement.cold_max_s)
        if cold_s > 0.0 and rate_per_s:
            if not self._cold_rate.is_cold(now_s):
                self._observe(ServerCold(self.announcement.server, cold_s, rate_per_s))
            self._cold_rate.start(rate_per_s, now_s + cold_s, now_s)

    def update_server_in_flight(self, in_flight: int) -> None:
        """Update the inherited requests from the server's own count.

        What it runs or queues beyond this node's requests was left by an earlier
        process of the node.
        """
        if not self._inherited:
            return
        left = max(0, in_flight - len(self._running))
        if left < self._inherited:
            self._inherited = left
            self._wake()

    def _update_knee_use(self):
        # The limit must not fall between a check for room and the start, so that the
        # end of a cold time counts from the next check.
        if self.slowness:
            self._knee_applies = True
        elif self.announcement.cold_s is None:
            self._knee_applies = False  # the learnt limit bounds it
        else:
            self._knee_applies = not self.cold  # the cold rate bounds it while cold

    def _check_start_rate(self):
        wait_s = self.estimate_rate_wait_s(0)
        if wait_s > 0.0 and self._rate_timer is None:
            self._rate_timer = self._schedule(wait_s, self._end_rate_wait)
        return wait_s <= 0.0

    def _end_rate_wait(self):
        self._rate_timer = None
        self._wake()

    def update_server_limit(
        self, report: SelfReport, source: ReportSource, sent_s: float
    ) -> None:
        """Apply the rate limit that an answer of the server sets or lifts.

        Parameters
        ----------
        report : SelfReport
        source : ReportSource
        sent_s : float
            Loop time at which the answered request was sent.
        """
        limit = self.server_limit
        if limit.update(report, source, sent_s, self._get_time()):
            self._observe(ServerLimited(self.announcement.server, limit.per_s))
            self._cancel_rate_wait()
            self._wake()

    def adopt_server_limit(self, per_s: float) -> None:
        """Keep to a limit that another node knows, until the server itself tells.

        This node has started after the server set it.
        """
        if self.server_limit.adopt(per_s, self._get_time()):
            self._observe(ServerLimited(self.announcement.server, per_s))

    def update_slowness(self, slowness: float) -> None:
        """Update the slowness of the server's host and the length of slow periods."""
        now_s = self._get_time()
        self._knee.slowness_reported = slowness > 0.0
        self._advance_load_clock()
        if slowness > self.slowness:
            self._slow_since_s = now_s
        elif slowness < self.slowness:
            span_s = now_s - self._slow_since_s
            gain = SPAN_SMOOTHING if self.slow_span_s else 1.0
            self.slow_span_s += gain * (span_s - self.slow_span_s)
        self.slowness = slowness
        self._update_knee_use()

    def estimate_run_s(self, kind: str) -> float:
        """Return the expected service time of a request of a kind."""
        return estimate_slowed_time(
            self.baseline.get(kind), self.slowness, self.slow_span_s
        )

    def estimate_wait_s(self, ahead: int, ahead_s: float) -> float:
        """Return the expected time until a request starts.

        Parameters
        ----------
        ahead : int
            Queued requests that start before it.
        ahead_s : float
            Total service time of these.
        """
        rate_s = self.estimate_rate_wait_s(ahead)
        busy_s = ahead_s / max(1, self.limit)
        if not rate_s or self.in_flight >= self.limit:
            run_s = estimate_slowed_time(
                self.baseline.mean_s, self.slowness, self.slow_span_s
            )
            busy_s += run_s / max(1, self.in_flight)
        return max(rate_s, busy_s)

    def estimate_rate_wait_s(self, ahead: int) -> float:
        """Return the time until the rate limits admit a start after `ahead` others."""
        now_s = self._get_time()
        return max(
            self._cold_rate.get_wait_s(now_s, ahead),
            self.server_limit.get_wait_s(now_s, ahead),
        )

    def renew(self, announcement: Announcement, cold_limit: int) -> None:
        """Apply an announcement; a new start id means a cold start."""
        restarted = not announcement.is_same_start(self.announcement)
        self.announcement = announcement
        changed = cold_limit != self._cold_limit
        self._cold_limit = cold_limit
        self._refused_s = None
        self._limit.set_ceiling(self._get_ceiling())
        self._knee.set_slots(self._limit.ceiling)
        self.update_cold_time(announcement.cold_s or 0.0)
        if restarted:
            self._inherited = 0
            self.server_limit = ServerLimit()
            self.relapse(RelapseCause.RESTARTED)
        elif announcement.in_flight is not None:
            self.update_server_in_flight(announcement.in_flight)
        if changed and not restarted and self._limit.cold:
            # It was announced before the settings were in force at this node. At the
            # default limit it might get no work, and never warm up.
            self._limit.start_cold(self._get_cold_limit())
        self._wake()

    def relapse(self, cause: RelapseCause) -> None:
        """Reset the limit to the cold limit."""
        self._detector.reset()
        self._disconnects = 0
        before = self._limit.value
        cold_limit = self._get_cold_limit()
        changed = not self._limit.cold or before != cold_limit
        # A server that was only slow needs fewer good answers before its limit rises.
        slow = cause in (RelapseCause.LATENCY, RelapseCause.STALLED)
        answers_min = SLOW_ANSWERS_MIN if slow else COLD_ANSWERS_MIN
        self._limit.start_cold(cold_limit, answers_min)
        if changed:
            server = self.announcement.server
            self._observe(RelapseSeen(server, cause, self._limit.value))
            self._report_limit(before, self._limit.value, cause.value)

    def start(self, running: RunningRequest) -> None:
        """Count a request that is sent to the server."""
        running.saturated = self.in_flight + 1 >= self.limit
        self._advance_load_clock()
        running.reading = self._load_clock.read()
        self._running[running.attempt] = running
        self.last_start_s = self._get_time()
        self._cold_rate.take(self.last_start_s)
        self.server_limit.take(self.last_start_s)
        check_invariant(
            self.in_flight <= self.limit, "more requests in flight than the limit"
        )
        check_invariant(
            not running.alone or self.in_flight == 1,
            "a suspect request does not run alone",
        )
        if self._stall_timer is None:
            self._stall_timer = self._schedule(STALL_CHECK_S, self._check_stall)

    def end(self, attempt: str, result: ServerResult | None) -> None:
        """Account for the end of a request; no result means that it was aborted."""
        self._advance_load_clock()
        running = self._running.pop(attempt)
        elapsed_s = self._get_time() - running.started_s
        match result:
            case Responded():
                if result.status < STATUS_FAILURE_MIN:
                    self._record_run(running, finished=True)
                self._end_answered(running, result.status, elapsed_s)
            case NotSent():
                self._refused_s = self._get_time()
                self.relapse(RelapseCause.REFUSED)
                self._schedule(REFUSED_PAUSE_S, self._wake)
            case Broken(disconnected=True):
                self._end_disconnected()
            case Broken():
                if result.timed_out:
                    self._record_run(running, finished=False)
                self._record(Sample(False, running.saturated))
                self._linger()
            case None:
                self._linger()
        self._wake()

    def close(self) -> None:
        """Cancel the timers."""
        if self._stall_timer is not None:
            self._stall_timer.cancel()
            self._stall_timer = None
        self._cancel_rate_wait()

    def _cancel_rate_wait(self):
        if self._rate_timer is not None:
            self._rate_timer.cancel()
            self._rate_timer = None

    def _get_ceiling(self):
        announcement = self.announcement
        return max(1, min(announcement.slots, announcement.request_connections_max))

    def _end_answered(self, running, status, elapsed_s):
        self._refused_s = None
        self._disconnects = 0
        shed = status in SHED_STATUSES
        ratio = 1.0
        if not shed:
            slowness = max(self.slowness, 1.0)
            ratio = self.baseline.record(running.kind, elapsed_s / slowness)
        cause = self._detector.record(ratio, shed)
        if cause is not None:
            self.relapse(cause)
            return
        self._record(Sample(not shed, running.saturated, ratio))

    def _record_run(self, running, *, finished):
        # Work takes longer on a cold server, whatever its load.
        if not self._knee_applies or self.cold:
            return
        start, end = running.reading, self._load_clock.read()
        if end.at_s > start.at_s:
            before = self._knee.bound
            in_flight = (end.load_s - start.load_s) / (end.at_s - start.at_s)
            work_s = end.work_s - start.work_s
            self._knee.record(
                end.at_s, running.kind, work_s, in_flight, finished=finished
            )
            self._report_limit(before, self._knee.bound, "knee")

    def _advance_load_clock(self):
        self._load_clock.advance(self._get_time(), self.in_flight, self.slowness)

    def _end_disconnected(self):
        self._disconnects += 1
        if not self._running or self._disconnects >= CRASH_DISCONNECTS_MIN:
            self.relapse(RelapseCause.CRASHED)
        else:
            self._record(Sample(False, True))

    def _get_cold_limit(self):
        # A server that reports when it is cold can use all its slots at other times,
        # and is limited by the rate while it is cold.
        if self.announcement.cold_s is not None:
            return self._limit.ceiling
        return self._cold_limit

    def _record(self, sample):
        if self.announcement.cold_s is not None:
            return
        before, was_cold = self._limit.value, self._limit.cold
        self._limit.record(sample)
        self._report_limit(before, self._limit.value, "answers")
        if was_cold and not self._limit.cold:
            self._observe(ServerWarmed(self.announcement.server, self._limit.value))

    def _report_limit(self, before, after, cause):
        if after != before:
            server = self.announcement.server
            self._observe(LimitChanged(server, before, after, cause))

    def _linger(self):
        # The slot stays taken until the server has noticed the closed connection.
        self._advance_load_clock()
        self._lingering += 1
        self._schedule(ABORT_LINGER_S, self._end_linger)

    def _end_linger(self):
        self._advance_load_clock()
        self._lingering -= 1
        self._wake()

    def _check_stall(self):
        self._stall_timer = None
        if not self._running:
            return
        now_s = self._get_time()
        ages = (
            (now_s - running.started_s, self.baseline.get(running.kind))
            for running in self._running.values()
        )
        if is_stalled(ages) and self._limit.value > self._get_cold_limit():
            self.relapse(RelapseCause.STALLED)
        self._stall_timer = self._schedule(STALL_CHECK_S, self._check_stall)

    def _schedule(self, delay_s, callback):
        return asyncio.get_running_loop().call_later(delay_s, callback)
