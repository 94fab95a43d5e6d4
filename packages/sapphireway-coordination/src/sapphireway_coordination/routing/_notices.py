"""Notices of servers that outlive a restart of the node beside them."""

import math

import msgspec

from sapphireway_coordination.membership import Member
from sapphireway_protocol import LoadReport

NOTICES_MAX = 4096


class Notice(msgspec.Struct, frozen=True):
    """What one start of a server has said of itself.

    Attributes
    ----------
    start_id : str
        "" if the reporting node did not know it.
    limit_per_s : float or None
        Rate limit that the server has set, if any.
    leaving : bool
        The server is about to stop.
    """

    start_id: str
    limit_per_s: float | None
    leaving: bool


class NoticeTable:
    """Rate limits and departures of servers, from the load reports of their nodes.

    A node that restarts has forgotten them, and may register a leaving server again or
    exceed its limit until the server answers. Entry nodes remember both until the
    server takes them back or starts anew.
    """

    __slots__ = ("_notices",)

    def __init__(self):
        self._notices = {}

    def record(self, report: LoadReport) -> None:
        """Update the notice of a server from a load report."""
        known = self._notices.get(report.server)
        if known is not None and _is_other_start(known.start_id, report.start_id):
            known = None
        told = report.server_limit_per_s is not None
        if known is not None and not told and not report.server_leaving:
            # The server has not answered this node since the node's start.
            return
        limit_per_s, leaving = report.server_limit_per_s, report.server_leaving
        if known is not None:
            # The departure of a known start is final.
            leaving = leaving or (known.leaving and bool(known.start_id))
            limit_per_s = limit_per_s if told else known.limit_per_s
        if limit_per_s == math.inf:
            limit_per_s = None
        self._notices.pop(report.server, None)
        if limit_per_s is not None or leaving:
            self._store(report, known, limit_per_s, leaving)

    def _store(self, report, known, limit_per_s, leaving):
        start_id = report.start_id or ("" if known is None else known.start_id)
        self._notices[report.server] = Notice(start_id, limit_per_s, leaving)
        if len(self._notices) > NOTICES_MAX:
            del self._notices[next(iter(self._notices))]

    def is_leaving(self, member: Member) -> bool:
        """Tell whether a member's server has said that it leaves."""
        notice = self._get(member)
        return notice is not None and notice.leaving

    def get_limit(self, member: Member) -> float | None:
        """Return the rate limit that a member's server has set, or None."""
        notice = self._get(member)
        return None if notice is None else notice.limit_per_s

    def _get(self, member):
        notice = self._notices.get(member.server)
        if notice is None or _is_other_start(notice.start_id, member.start_id):
            return None
        return notice


def _is_other_start(start_id, other_id):
    return bool(start_id) and bool(other_id) and start_id != other_id
