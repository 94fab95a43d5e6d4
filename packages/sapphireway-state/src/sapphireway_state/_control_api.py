"""Messages of the operator's HTTP API about the control hosts."""

import msgspec

from sapphireway_state._process import PROCESS_RULES
from sapphireway_state._rules import find_violation

CONTROL_HOSTS_MAX = 7
CONTROL_VOTERS_MIN = 3


class ControlHostsChange(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Body of ``POST /v1/control-hosts``.

    Attributes
    ----------
    operator : str
    add, remove : list of str
        Node addresses.
    reason : str
    force : bool
        Whether the change may leave fewer than three voters.
    """

    operator: str
    add: list[str] = []
    remove: list[str] = []
    reason: str = ""
    force: bool = False


class ControlHostStatus(msgspec.Struct, frozen=True):
    """One control host as reported by the quorum and by the host itself.

    Attributes
    ----------
    address : str
    member : str
        ``voter``, ``learner``, ``expected`` (added, but has never joined) or
        ``none``.
    reachable : bool
        Whether the host answered the node that serves the request.
    role : str
        Current role of the host. This field and those below have their defaults
        if the host did not answer.
    term, commit_index, last_index : int
    disk : str
        ``ok``, or the error of the data folder.
    detail : str
        Why the host does not participate in the quorum, if it does not.
    """

    address: str
    member: str
    reachable: bool = False
    role: str = ""
    term: int = 0
    commit_index: int = 0
    last_index: int = 0
    disk: str = ""
    detail: str = ""


class ControlHostsReport(msgspec.Struct, frozen=True):
    """All control hosts known to a node.

    Attributes
    ----------
    hosts : list of ControlHostStatus
        Members of the quorum, and hosts listed in the node's settings.
    leader, cluster_id : str
        Empty if unknown.
    """

    hosts: list[ControlHostStatus]
    leader: str = ""
    cluster_id: str = ""


def find_request_error(change: ControlHostsChange) -> str | None:
    """Return why a change is malformed, or None."""
    if not change.add and not change.remove:
        return "neither add nor remove names an address"
    rule = PROCESS_RULES["control_hosts"]
    for name in ("add", "remove"):
        addresses = getattr(change, name)
        violation = find_violation(rule, addresses) if addresses else None
        if violation is not None:
            return f"{name}: {violation}; allowed: {rule.allowed}"
    return None


def find_change_error(
    change: ControlHostsChange, report: ControlHostsReport
) -> str | None:
    """Return why a change is invalid even if it is forced, or None."""
    members = {host.address for host in report.hosts if host.member != "none"}
    known = ", ".join(sorted(members))
    for address in change.add:
        if address in members:
            return f"{address} is a control host already"
    for address in change.remove:
        if address not in members:
            return f"{address} is no control host; they are: {known}"
    if len(members) + len(change.add) - len(change.remove) > CONTROL_HOSTS_MAX:
        return f"there are {CONTROL_HOSTS_MAX} control hosts at most"
    return None


def leaves_too_few_voters(
    change: ControlHostsChange, report: ControlHostsReport
) -> bool:
    """Return whether a removal leaves a quorum that cannot tolerate a failure."""
    voters = {host.address for host in report.hosts if host.member == "voter"}
    remaining = voters.difference(change.remove)
    return remaining != voters and len(remaining) < CONTROL_VOTERS_MIN
