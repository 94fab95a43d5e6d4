"""The control hosts that a node knows."""

from collections.abc import Sequence


class ControlHostList:
    """The current control hosts, or the configured ones until a list is received.

    Hosts join and leave while nodes run, so nodes learn the list from the control
    host that they renew with. It is versioned by the journal position that set it.

    Parameters
    ----------
    configured : sequence of str
        Addresses from the process's settings.

    Attributes
    ----------
    configured : tuple of str
    version : int
        Journal position that set the list; 0 while the configured list is in use.
    addresses : tuple of str
    """

    __slots__ = ("addresses", "configured", "version")

    def __init__(self, configured: Sequence[str]):
        self.configured = tuple(configured)
        self.version = 0
        self.addresses = self.configured

    def update(self, version: int, addresses: Sequence[str]) -> bool:
        """Replace the list; False if the new one is not later, or is empty."""
        if version <= self.version or not addresses:
            return False
        self.version = version
        self.addresses = tuple(sorted(addresses))
        return True
