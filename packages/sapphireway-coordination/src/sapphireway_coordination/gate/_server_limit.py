"""Limit on requests per second that a server sets in its answers."""

import enum

from sapphireway_coordination.gate._self_report import SelfReport


class ReportSource(enum.StrEnum):
    """Kind of answer that carried a report."""

    ANSWER = "answer"
    HEALTH = "health"


class ServerLimit:
    """Limit that one start of a server has set, changed or lifted.

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

    __slots__ = ("_set_s", "_sources", "known", "per_s")

    def __init__(self):
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
        changed = self.per_s != report.requests_per_s
        self.per_s = report.requests_per_s
        return changed

    def _is_evidence_of_no_limit(self, report, source, sent_s):
        if report.unreadable or sent_s < self._set_s:
            return False
        if self._sources:
            return source in self._sources
        return source is ReportSource.ANSWER
