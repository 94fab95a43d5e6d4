"""Limit on requests per second that a server sets in its answers."""

import enum
import math

from sapphireway_coordination.gate._self_report import SelfReport
from sapphireway_coordination.gate._token_bucket import TokenBucket

# A server that takes less than this, or nothing, still gets a request now and then, as
# only its answers tell that it has lifted its limit.
TRIAL_PER_S = 0.5


class ReportSource(enum.StrEnum):
    """Kind of answer that carried a report."""

    ANSWER = "answer"
    HEALTH = "health"


class ServerLimit:
    """Rate limit that one start of a server sets, changes and lifts in its answers.

    It counts all requests to the server, as all pass the node beside it.

    The limit holds until an answer sets none. Two answers are no evidence of that: one
    whose request was sent before the limit was last set, and one of a source that has
    never set a limit, as a server may set it in only one of them.

    Attributes
    ----------
    per_s : float or None
        Requests per second; None if there is no limit, or none is known.
    known : bool
        True once the server's answers have told whether there is a limit.
    """

    __slots__ = ("_bucket", "_set_s", "_sources", "known", "per_s")

    def __init__(self):
        self._bucket = None
        self._set_s = float("-inf")
        self._sources = set()
        self.known = False
        self.per_s = None

    def update(
        self, report: SelfReport, source: ReportSource, sent_s: float, now_s: float
    ) -> bool:
        """Apply a report and tell whether the limit changed.

        Parameters
        ----------
        report : SelfReport
        source : ReportSource
        sent_s : float
            Loop time at which the request was sent that the report answers.
        now_s : float
        """
        if report.requests_per_s is not None:
            self._sources.add(source)
            self._set_s = now_s
        elif not self._is_evidence_of_no_limit(report, source, sent_s):
            return False
        self.known = True
        if self.per_s == report.requests_per_s:
            return False
        self._set_rate(report.requests_per_s, now_s)
        return True

    def adopt(self, per_s: float, now_s: float) -> bool:
        """Apply a limit that another node knows; False if this one knows better."""
        if self.known or self.per_s == per_s:
            return False
        self._sources.add(ReportSource.ANSWER)
        self._set_s = now_s
        self._set_rate(per_s, now_s)
        return True

    @property
    def reported_per_s(self) -> float | None:
        """The limit as load reports tell it: infinite for none, None if not known."""
        if self.per_s is not None:
            return self.per_s
        return math.inf if self.known else None

    @property
    def starts_per_s(self) -> float:
        """Rate at which requests may start; 0 if there is no limit."""
        return 0.0 if self._bucket is None else self._bucket.per_s

    def take(self, now_s: float) -> None:
        """Count a started request."""
        if self._bucket is not None:
            self._bucket.take(now_s)

    def get_wait_s(self, now_s: float, ahead: int = 0) -> float:
        """Return the time until one more may start after `ahead` others."""
        return 0.0 if self._bucket is None else self._bucket.get_wait_s(now_s, ahead)

    def _set_rate(self, per_s, now_s):
        self.per_s = per_s
        if per_s is None:
            self._bucket = None
        elif self._bucket is None:
            self._bucket = TokenBucket(max(per_s, TRIAL_PER_S), now_s)
        else:
            self._bucket.set_rate(max(per_s, TRIAL_PER_S), now_s)

    def _is_evidence_of_no_limit(self, report, source, sent_s):
        if report.unreadable or sent_s < self._set_s:
            return False
        if self._sources:
            return source in self._sources
        return source is ReportSource.ANSWER
