"""Decisions of the nodes: routing, admission, claims, quorum and membership."""

from sapphireway_coordination._call import Call
from sapphireway_coordination._directory import Directory
from sapphireway_coordination._follower import SettingsFollower
from sapphireway_coordination._members import GetMembers, Member
from sapphireway_coordination._membership import Membership

__all__ = [
    "Call",
    "Directory",
    "GetMembers",
    "Member",
    "Membership",
    "SettingsFollower",
]
