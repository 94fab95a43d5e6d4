"""Refusal of work that a rollout does not allow at the server beside the node."""

from collections.abc import Callable

from sapphireway_coordination.gate._announcement import Announcement
from sapphireway_coordination.routing import GetRollout
from sapphireway_protocol import NotRunReason
from sapphireway_state import VersionRole


class VersionGuard:
    """Tells which work the server's version may get.

    Entry nodes choose by the settings that they have in force, which may be older.

    Parameters
    ----------
    get_rollout : callable
    get_announcement : callable
        Returns the latest announcement of the server, or None.
    """

    __slots__ = ("_get_announcement", "_get_rollout")

    def __init__(
        self,
        get_rollout: GetRollout,
        get_announcement: Callable[[], Announcement | None],
    ):
        self._get_announcement = get_announcement
        self._get_rollout = get_rollout

    def find_refusal(self) -> NotRunReason | None:
        """Return why the server may get no new work at all, or None if it may."""
        announcement, rollout = self._find_rollout()
        if rollout is None:
            return None
        announced = bool(announcement.start_id)
        if rollout.serves(announcement.version, announced):
            return None
        return NotRunReason.VERSION

    def is_outdated(self, settings_version: int) -> bool:
        """Return whether a sender has not heard of the rollout to this version.

        Parameters
        ----------
        settings_version : int
            Version of the settings in force at the sender when it sent.
        """
        announcement, rollout = self._find_rollout()
        if rollout is None or not rollout.running:
            return False
        is_new = rollout.get_role(announcement.version) is VersionRole.NEW
        return is_new and settings_version < rollout.order

    def _find_rollout(self):
        announcement = self._get_announcement()
        if announcement is None:
            return None, None
        return announcement, self._get_rollout(announcement.service)
