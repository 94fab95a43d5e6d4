"""Registration of the local server, from its announcement until it leaves."""

import asyncio
import math
from collections.abc import Callable

from sapphireway_coordination.departures import DepartureClient
from sapphireway_coordination.gate._announcement import (
    AnnounceAccepted,
    Announcement,
    AnnounceRefused,
    AnnounceResult,
)
from sapphireway_coordination.gate._capacity import ServerCapacity
from sapphireway_coordination.gate._events import (
    ObserveGate,
    RelapseCause,
    ReportUnreadable,
    ServerAnnounced,
    ServerLeft,
)
from sapphireway_coordination.gate._limit import UpdateLimit, make_additive_update
from sapphireway_coordination.gate._self_report import SelfReport
from sapphireway_coordination.gate._server_limit import ReportSource
from sapphireway_protocol import NotRunReason

RENEW_S = 2.0
LEASE_S = 7.0
# The node may have stalled when the lease ran out; within this time it reads the
# announcements that arrived meanwhile.
LEASE_GRACE_S = 0.5
SLOWNESS_TOLERANCE = 0.25  # smaller changes would not redirect any request


class Registration:
    """Registered server and the lease that its announcements renew.

    Parameters
    ----------
    observe : callable
    departures : DepartureClient
        Remembers which starts have left.
    wake : callable
        Called without arguments when a slot may have become free.
    refuse_waiting : callable
        Called with a `NotRunReason` when queued attempts must be refused.
    make_update : callable
        Creates the algorithm that adapts the limit.
    on_change : callable
        Called without arguments when other nodes should hear of the server at once:
        its host became faster or slower, or the server leaves.

    Attributes
    ----------
    capacity : ServerCapacity or None
        None until the first announcement.
    last_answer_report : SelfReport or None
        Report of the last answer to a request; None before the first.
    last_answer_s : float
        Loop time at which that report was applied.
    """

    __slots__ = (
        "_announced_s",
        "_departures",
        "_in_grace",
        "_lease_expired",
        "_lease_timer",
        "_lease_until_s",
        "_leaving",
        "_loop",
        "_make_update",
        "_observe",
        "_on_change",
        "_refuse_waiting",
        "_unreadable",
        "_wake",
        "capacity",
        "last_answer_report",
        "last_answer_s",
    )

    def __init__(
        self,
        observe: ObserveGate,
        departures: DepartureClient,
        wake: Callable[[], None],
        refuse_waiting: Callable[[NotRunReason], None],
        make_update: Callable[[], UpdateLimit] = make_additive_update,
        on_change: Callable[[], None] = lambda: None,
    ):
        self._announced_s = -math.inf
        self._on_change = on_change
        self._in_grace = False
        self._lease_expired = False
        self._lease_timer = None
        self._lease_until_s = 0.0
        self._departures = departures
        self._leaving = False
        self._loop = asyncio.get_running_loop()
        self._make_update = make_update
        self._observe = observe
        self._refuse_waiting = refuse_waiting
        self._unreadable = ()
        self._wake = wake
        self.capacity = None
        self.last_answer_report = None
        self.last_answer_s = -math.inf

    @property
    def announcement(self) -> Announcement | None:
        """The latest announcement, or None if there was none."""
        return None if self.capacity is None else self.capacity.announcement

    @property
    def leaving(self) -> bool:
        """True once the server has announced that it stops."""
        return self._leaving

    @property
    def lease_expired(self) -> bool:
        """True if the server did not renew its announcement in time."""
        return self._lease_expired

    def find_unavailability(self, service: str) -> NotRunReason | None:
        """Return why requests of `service` cannot run here, or None if they can."""
        if self.announcement is None or self.announcement.service != service:
            return NotRunReason.NO_SERVER
        if self.leaving:
            return NotRunReason.DRAINING
        if self._lease_expired:
            return NotRunReason.NO_SERVER
        if self.capacity.paused:
            return NotRunReason.UNREACHABLE
        return None

    def announce(self, announcement: Announcement, cold_limit: int) -> AnnounceResult:
        """Register a server, or renew its registration."""
        server, start_id = announcement.server, announcement.start_id
        current = self.announcement
        if self._departures.has_left(server, start_id):
            is_current = current is not None and current.server == server
            if is_current and announcement.is_same_start(current):
                # It was registered before the control hosts could be asked.
                self._stop_work()
            return AnnounceRefused(
                f"server {server} has left; restart it to register again"
            )
        if not self._departures.is_checked(server, start_id):
            return AnnounceRefused(
                "no majority of the control hosts has told yet whether this start of "
                f"server {server} has left; announce it again"
            )
        if self._is_overtaken(announcement):
            return AnnounceRefused(
                f"a later start of server {current.server} is registered at this node"
            )
        if current is not None and current.server != announcement.server:
            if not self._is_replaceable(announcement):
                return AnnounceRefused(
                    f"this node is already the proxy of server {current.server}"
                )
            self.close()
            current = None
        if current is None:
            self._register(announcement, cold_limit)
        elif current.service != announcement.service:
            return AnnounceRefused(
                f"server {current.server} cannot change its service {current.service}"
            )
        else:
            self._renew(announcement, cold_limit)
        self._leaving = False
        self._lease_expired = False
        self._renew_lease()
        self._announced_s = self._loop.time()
        return AnnounceAccepted(RENEW_S, self.capacity.limit)

    def _is_overtaken(self, announcement):
        # A later start that has fallen silent, while an earlier one has not, was
        # announced by another writer.
        current = self.announcement
        if current is None or self._lease_expired:
            return False
        return announcement.started_s < current.started_s

    def leave(self, server: str, start_id: str = "") -> bool:
        """Stop new work for the server; False if it is not registered.

        Parameters
        ----------
        server : str
        start_id : str, default=""
            The start that leaves, if it is known; otherwise the registered one does.
        """
        current = self.announcement
        if start_id:
            self._departures.record(server, start_id)
        if current is None or current.server != server:
            if not start_id:
                self._departures.record(server, "")
            return False
        if not self.leaving and (current.start_id or not start_id):
            self._departures.record(server, current.start_id)
        self._stop_work()
        return True

    def _stop_work(self):
        if self.leaving:
            return
        self._leaving = True
        self._refuse_waiting(NotRunReason.DRAINING)
        current = self.announcement
        self._observe(ServerLeft(current.server, current.service, False))
        self._on_change()

    def is_registered(self, announcement: Announcement) -> bool:
        """Tell whether the start that made an announcement is still registered."""
        current = self.announcement
        if current is None or current.server != announcement.server:
            return False
        return current.is_same_start(announcement)

    def extend_lease(self) -> None:
        """Extend the lease, as an answer proves that the server is alive."""
        self._lease_until_s = self._loop.time() + LEASE_S
        self._in_grace = False

    def apply_report(
        self, report: SelfReport, source: ReportSource, sent_s: float
    ) -> None:
        """Apply the status that the server reported in an answer.

        Parameters
        ----------
        report : SelfReport
        source : ReportSource
        sent_s : float
            Loop time at which the answered request was sent.
        """
        capacity = self.capacity
        if capacity is None:
            return
        if report.server is not None and report.server != self.announcement.server:
            if sent_s > self._announced_s:
                self._expire()
            return
        if source is ReportSource.ANSWER:
            self.last_answer_report = report
            self.last_answer_s = self._loop.time()
        self._report_unreadable(report)
        capacity.update_server_limit(report, source, sent_s)
        if report.leaving:
            self.leave(self.announcement.server)
        if report.cold_s is not None:
            capacity.update_cold_time(report.cold_s)
        if report.in_flight is not None:
            capacity.update_server_in_flight(report.in_flight)
        if report.slowness is not None:
            before = capacity.slowness
            capacity.update_slowness(report.slowness)
            if abs(before - report.slowness) > SLOWNESS_TOLERANCE * before:
                self._on_change()

    def _report_unreadable(self, report):
        # The same malformed value comes with every answer.
        if report.unreadable and report.unreadable != self._unreadable:
            detail = ", ".join(report.unreadable)
            self._observe(ReportUnreadable(self.announcement.server, detail))
        self._unreadable = report.unreadable

    def close(self) -> None:
        """Drop the registration and cancel the timers."""
        if self._lease_timer is not None:
            self._lease_timer.cancel()
            self._lease_timer = None
        if self.capacity is not None:
            self.capacity.close()
            self.capacity = None

    def _is_replaceable(self, announcement):
        if announcement.started_s > self.announcement.started_s:
            # A node has one server, so the previous one has ended.
            return True
        gone = self._lease_expired or self.leaving
        return gone and self.capacity.in_flight == 0

    def _register(self, announcement, cold_limit):
        self.capacity = ServerCapacity(
            announcement,
            cold_limit,
            self._loop.time,
            self._observe,
            self._wake,
            announcement.in_flight,
            self._make_update,
        )
        self._report_announced(announcement)

    def _renew(self, announcement, cold_limit):
        restarted = not announcement.is_same_start(self.announcement)
        self.capacity.renew(announcement, cold_limit)
        if restarted:
            self._report_announced(announcement)
        elif self._lease_expired:
            self.capacity.relapse(RelapseCause.ANNOUNCED)
            self._report_announced(announcement)

    def _report_announced(self, announcement):
        self._observe(
            ServerAnnounced(
                announcement.server,
                announcement.service,
                announcement.start_id,
                announcement.slots,
            )
        )

    def _renew_lease(self):
        self.extend_lease()
        if self._lease_timer is None:
            self._lease_timer = self._loop.call_later(LEASE_S, self._check_lease)

    def _check_lease(self):
        now_s = self._loop.time()
        if now_s < self._lease_until_s or not self._in_grace:
            self._in_grace = now_s >= self._lease_until_s
            check_s = now_s + LEASE_GRACE_S if self._in_grace else self._lease_until_s
            self._lease_timer = self._loop.call_at(check_s, self._check_lease)
            return
        self._lease_timer = None
        self._expire()

    def _expire(self):
        if self._lease_expired:
            return
        self._lease_expired = True
        self._refuse_waiting(NotRunReason.NO_SERVER)
        if not self.leaving:
            current = self.announcement
            self._observe(ServerLeft(current.server, current.service, True))
