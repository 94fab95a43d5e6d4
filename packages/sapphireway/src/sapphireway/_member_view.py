"""Members of a service, with a mark on those that operators took out of service."""

from collections.abc import Callable, Sequence

import msgspec

from sapphireway_coordination import GetMembers, Member, Membership
from sapphireway_state import SettingsView


def make_get_members(
    membership: Membership, get_settings: Callable[[], SettingsView]
) -> GetMembers:
    """Return a function that lists members and marks those taken out of service.

    The lists are cached until membership or settings change.
    """
    cached = {}
    cached_for = None

    def get_members(service: str) -> Sequence[Member]:
        nonlocal cached_for
        settings = get_settings()
        members = membership.get_members(service)
        current = (membership.revision, settings.version)
        if current != cached_for:
            cached.clear()
            cached_for = current
        if service not in cached:
            cached[service] = _mark_out_of_service(members, settings)
        return cached[service]

    return get_members


def _mark_out_of_service(members, settings):
    return tuple(
        msgspec.structs.replace(member, out=True)
        if settings.is_out(member.domain, member.server)
        else member
        for member in members
    )
