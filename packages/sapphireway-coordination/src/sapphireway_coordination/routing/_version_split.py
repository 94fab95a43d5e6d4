"""Choice between the versions of a service while a rollout moves its traffic."""

import asyncio
from collections.abc import Callable, Sequence

import msgspec

from sapphireway_coordination.membership import Member
from sapphireway_coordination.routing._call import Call
from sapphireway_coordination.routing._events import ObserveCall, VersionChosen
from sapphireway_coordination.routing._loads import ServerLoad
from sapphireway_state import Rollout, VersionRole

ACCOUNT_MAX = 1.0  # attempts; a time without new servers is not made up for later
ROUNDING = 1e-9  # 20 times 0.05 is less than 1 in floating point

GetRollout = Callable[[str], Rollout | None]
"""Returns the last rollout of a service, if there was one."""


class _Account(msgspec.Struct):
    """Attempts that the new version may still get from this node.

    Attributes
    ----------
    order : int
        Rollout that the account belongs to.
    balance : float
    """

    order: int
    balance: float = 0.0


class VersionSplit:
    """Limits the new version of a service to its share of this node's attempts.

    Each attempt adds the share to an account when it is sent, and one to the new
    version takes 1 from it before its server is chosen. Neither is undone, so the
    attempts that the new version gets never exceed the share.

    Parameters
    ----------
    get_rollout : callable
    get_rollouts_version : callable
        Returns the version of the rollouts in force.
    """

    __slots__ = (
        "_accounts",
        "_changed",
        "_get_rollout",
        "_get_rollouts_version",
    )

    def __init__(
        self,
        get_rollout: GetRollout = lambda service: None,
        get_rollouts_version: Callable[[], int] = lambda: 0,
    ):
        self._accounts = {}
        self._changed = asyncio.Event()
        self._get_rollout = get_rollout
        self._get_rollouts_version = get_rollouts_version

    @property
    def rollouts_version(self) -> int:
        """Version of the rollouts in force."""
        return self._get_rollouts_version()

    def select(
        self, call: Call, loads: Sequence[ServerLoad], observe: ObserveCall
    ) -> Sequence[ServerLoad]:
        """Return the servers that the next attempt of a call may go to.

        If it returns servers of the new version of a running rollout, the attempt is
        charged to the account even if it is not sent.
        """
        rollout = self._get_rollout(call.service)
        if rollout is None:
            return loads
        serving = list_serving(rollout, loads)
        if not rollout.running or rollout.share >= 1.0:
            return serving
        new = [x for x in serving if _get_role(rollout, x) is VersionRole.NEW]
        chosen = [x for x in serving if _get_role(rollout, x) is VersionRole.OLD]
        role = VersionRole.OLD
        if new and self._withdraw(rollout):
            role, chosen = VersionRole.NEW, new
        observe(
            VersionChosen(
                call.call_id, call.service, role, rollout.version, rollout.share
            )
        )
        return chosen

    def list_serving(
        self, service: str, loads: Sequence[ServerLoad]
    ) -> Sequence[ServerLoad]:
        """Return the servers of versions that may get requests of the service."""
        rollout = self._get_rollout(service)
        return loads if rollout is None else list_serving(rollout, loads)

    def record_sent(self, service: str) -> None:
        """Add the share to the account, as an attempt was sent."""
        rollout = self._get_rollout(service)
        if rollout is not None and rollout.running:
            account = self._get_account(rollout)
            account.balance = min(account.balance + rollout.share, ACCOUNT_MAX)

    def notify(self) -> None:
        """Wake the calls that wait for newer rollouts."""
        self._changed.set()
        self._changed = asyncio.Event()

    async def wait_for_change(self, known_version: int, timeout_s: float) -> None:
        """Wait until rollouts later than `known_version` are in force."""
        try:
            async with asyncio.timeout(timeout_s):
                while self.rollouts_version <= known_version:
                    await self._changed.wait()
        except TimeoutError:
            pass

    def _withdraw(self, rollout):
        account = self._get_account(rollout)
        # The attempt adds its own share once it is sent.
        if account.balance + rollout.share < 1.0 - ROUNDING:
            return False
        account.balance -= 1.0
        return True

    def _get_account(self, rollout):
        account = self._accounts.get(rollout.service)
        if account is None or account.order != rollout.order:
            account = self._accounts[rollout.service] = _Account(rollout.order)
        return account


def list_serving(rollout: Rollout, loads: Sequence[ServerLoad]) -> Sequence[ServerLoad]:
    """Return the servers of versions that may get requests at all."""
    return [x for x in loads if _serves(rollout, x.member)]


def _serves(rollout: Rollout, member: Member) -> bool:
    return rollout.serves(member.version, bool(member.start_id))


def _get_role(rollout, load):
    return rollout.get_role(load.member.version, bool(load.member.start_id))
