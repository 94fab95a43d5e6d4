"""Membership: leases of nodes, directories on the control hosts, and members."""

from sapphireway_coordination.membership._control_host_list import (
    ControlHostList,
)
from sapphireway_coordination.membership._directory import (
    Directory,
)
from sapphireway_coordination.membership._members import (
    GetMembers,
    Member,
    index_members,
    make_member,
)
from sapphireway_coordination.membership._membership import (
    Membership,
    NodeReport,
)

__all__ = [
    "ControlHostList",
    "Directory",
    "GetMembers",
    "Member",
    "Membership",
    "NodeReport",
    "index_members",
    "make_member",
]
