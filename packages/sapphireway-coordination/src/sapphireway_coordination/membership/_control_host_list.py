"""Which control hosts there are, as far as a node knows."""

from collections.abc import Sequence


class ControlHostList:
    """The control hosts in force, and before any is known those of the settings.

    Hosts join and leave while nodes run, so nodes learn the list from whichever
    control host they renew with, by the journal position that set it.

    Parameters
    ----------
    configured : sequence of str
        Addresses from the process's settings.

    Attributes
    ----------
    configured : tuple of str
    version : int
        Journal position that set the list; 0 while only the settings are known.
    addresses : tuple of str
    """

    __slots__ = ("addresses", "configured", "version")

    def __init__(self, configured: Sequence[str]):
        self.configured = tuple(configured)
        self.version = 0
        self.addresses = self.configured

    def update(self, version: int, addresses: Sequence[str]) -> bool:
        """Take a later list; False if it is not later or empty."""
        if version <= self.version or not addresses:
            return False
        self.version = version
        self.addresses = tuple(sorted(addresses))
        return True
