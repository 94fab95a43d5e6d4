"""A simplified server and its node on the paused clock."""

import asyncio
import collections
import heapq
import itertools
from dataclasses import dataclass

from sapphireway_protocol import (
    Cancel,
    LoadReport,
    Peers,
    Probe,
    ProbeReply,
    Reply,
    Revoke,
    Revoked,
    Run,
    ServerState,
)

QUEUE_LIMIT = 64
FAILURE_LATENCY_S = 0.0002
COLD_WORK_FACTOR = 3.0
COLD_SUCCESSES = 60
COLD_SUCCESSES_PER_SLOT = 4
LATENCY_GAIN = 0.1


@dataclass(slots=True, frozen=True)
class SlowWindow:
    """An interval in which a server works slower by a factor."""

    start_s: float
    end_s: float
    factor: float


def compute_finish_s(start_s, work_s, windows):
    """Return when work started at `start_s` ends on a server with slow windows."""
    now_s, left_s = start_s, work_s
    for window in windows:
        if window.end_s <= now_s:
            continue
        if now_s < window.start_s:
            if now_s + left_s <= window.start_s:
                return now_s + left_s
            left_s -= window.start_s - now_s
            now_s = window.start_s
        window_work_s = (window.end_s - now_s) / window.factor
        if left_s <= window_work_s:
            return now_s + left_s * window.factor
        left_s -= window_work_s
        now_s = window.end_s
    return now_s + left_s


@dataclass(slots=True)
class ServerFaults:
    """Faults of one server.

    Attributes
    ----------
    slow : tuple of SlowWindow
    failing : tuple of SlowWindow
        Intervals in which every request fails immediately; the factor is unused.
    report_delay_s : float
        Age of each load report when it is sent.
    """

    slow: tuple[SlowWindow, ...] = ()
    failing: tuple[SlowWindow, ...] = ()
    report_delay_s: float = 0.0


class StandInServer:
    """Runs attempts in slots, queues others by weight, and reports its load.

    Attributes
    ----------
    runs : collections.Counter
        How often the server ran each call, by call id.
    """

    def __init__(self, endpoint, incarnation, server, slots, rng, draw_work, faults):
        self.peers = Peers(endpoint, incarnation)
        self.faults = faults
        self.refusing = False
        self.runs = collections.Counter()
        self._server, self._slots, self._rng = server, slots, rng
        self._draw_work = draw_work
        self._cold_successes_left = 0
        self._limit = slots
        self._running, self._attempt_states = {}, {}
        self._queue, self._order = [], itertools.count()
        self._latency_s = 0.0
        self._reports = collections.deque()
        self.peers.handle(Run, self._handle_run)
        self.peers.handle(Cancel, self._handle_cancel)
        self.peers.handle(Revoke, self._handle_revoke)
        self.peers.handle(Probe, self._handle_probe)
        self.peers.start()

    def start_cold(self, limit=1):
        """Start with a low limit and slow work until enough requests have succeeded."""
        self._limit = limit
        self._cold_successes_left = COLD_SUCCESSES

    def stop(self):
        """Stop like a killed process: drop all work and send nothing."""
        for timer in self._running.values():
            timer.cancel()
        self._queue.clear()
        self.peers.close()

    def _now(self):
        return asyncio.get_running_loop().time()

    def _make_report(self):
        state = ServerState.COLD if self._cold_successes_left else ServerState.SERVING
        if self.refusing:
            state = ServerState.OUT
        report = LoadReport(
            self._server,
            len(self._running),
            len(self._queue),
            self._limit,
            self._latency_s * 1000,
            state,
            self.peers.incarnation,
        )
        now_s = self._now()
        self._reports.append((now_s, report))
        while len(self._reports) > 1 and (
            self._reports[1][0] <= now_s - self.faults.report_delay_s
        ):
            self._reports.popleft()
        return self._reports[0][1]

    def _send_reply(self, entry, attempt, outcome, arrived_s, body=b"", **fields):
        server_ms = max((self._now() - arrived_s) * 1000, 1e-3)
        reply = Reply(
            attempt, outcome, load=self._make_report(), server_ms=server_ms, **fields
        )
        self._attempt_states[attempt] = (reply, body)
        self.peers.send(entry, reply, body)

    def _handle_run(self, entry, envelope):
        run, now_s = envelope.message, self._now()
        state_or_reply = self._attempt_states.get(run.attempt)
        if state_or_reply is not None:
            if isinstance(state_or_reply, tuple):
                self.peers.send(entry, *state_or_reply)
            return
        self._attempt_states[run.attempt] = "held"
        if run.incarnation != self.peers.incarnation or not run.latest_start_s:
            self._refuse(entry, run.attempt, now_s, "stale")
        elif self.refusing:
            self._refuse(entry, run.attempt, now_s, "domain_out")
        elif now_s > run.latest_start_s:
            self._refuse(entry, run.attempt, now_s, "deadline")
        else:
            ends_s = now_s + run.budget_ms / 1000
            item = (-run.weight, ends_s, next(self._order), entry, run, now_s)
            heapq.heappush(self._queue, item)
            self._start_next()
            if len(self._queue) > QUEUE_LIMIT:
                lowest = max(self._queue)
                self._queue.remove(lowest)
                heapq.heapify(self._queue)
                self._refuse(lowest[3], lowest[4].attempt, lowest[5], "overloaded")

    def _refuse(self, entry, attempt, arrived_s, reason):
        self._send_reply(entry, attempt, "not_run", arrived_s, reason=reason)

    def _start_next(self):
        while self._queue and len(self._running) < self._limit:
            _, ends_s, _, entry, run, arrived_s = heapq.heappop(self._queue)
            if self._now() + self._latency_s * 0.5 >= ends_s:
                self._refuse(entry, run.attempt, arrived_s, "deadline")
                continue
            self._start(entry, run, arrived_s)

    def _start(self, entry, run, arrived_s):
        now_s = self._now()
        self.runs[run.call] += 1
        work_s = self._draw_work()
        failing = any(w.start_s <= now_s < w.end_s for w in self.faults.failing)
        if failing:
            finish_s = now_s + FAILURE_LATENCY_S
        else:
            work_factor = COLD_WORK_FACTOR if self._cold_successes_left else 1.0
            finish_s = compute_finish_s(now_s, work_s * work_factor, self.faults.slow)
        timer = asyncio.get_running_loop().call_at(
            finish_s, self._finish, entry, run, arrived_s, now_s, failing
        )
        self._running[run.attempt] = timer

    def _finish(self, entry, run, arrived_s, started_s, failing):
        del self._running[run.attempt]
        took_s = self._now() - started_s
        self._latency_s += LATENCY_GAIN * (took_s - self._latency_s)
        if self._cold_successes_left and not failing:
            self._cold_successes_left -= 1
            if self._cold_successes_left % COLD_SUCCESSES_PER_SLOT == 0:
                self._limit = min(self._limit + 1, self._slots)
        if not self._cold_successes_left:
            self._limit = self._slots
        self._start_next()
        status = 500 if failing else 200
        self._send_reply(
            entry, run.attempt, "answered", arrived_s, run.call.encode(), status=status
        )

    def _handle_cancel(self, entry, envelope):
        attempt = envelope.message.attempt
        timer = self._running.pop(attempt, None)
        if timer is not None:
            timer.cancel()
            self._start_next()
        self._drop_queued(attempt)
        self._attempt_states.setdefault(attempt, "cancelled")

    def _handle_revoke(self, entry, envelope):
        attempt = envelope.message.attempt
        state_or_reply = self._attempt_states.get(attempt)
        never_runs = (
            state_or_reply is None
            or state_or_reply == "revoked"
            or self._drop_queued(attempt)
        )
        if never_runs:
            self._attempt_states[attempt] = "revoked"
        finished = isinstance(state_or_reply, tuple)
        self.peers.send(
            entry, Revoked(attempt, never_runs, finished, self._make_report())
        )
        if finished:
            self.peers.send(entry, *state_or_reply)

    def _drop_queued(self, attempt):
        for index, item in enumerate(self._queue):
            if item[4].attempt == attempt:
                del self._queue[index]
                heapq.heapify(self._queue)
                return True
        return False

    def _handle_probe(self, entry, envelope):
        self.peers.reply(entry, envelope, ProbeReply(self._make_report()))


def find_percentile(ordered, percentile):
    """Return a percentile of sorted values."""
    index = int(len(ordered) * percentile / 100)
    return ordered[min(index, len(ordered) - 1)]
