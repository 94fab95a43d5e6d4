"""Decisions of the nodes: routing, admission, claims, quorum and membership."""

from sapphireway_coordination._call import Call
from sapphireway_coordination._members import GetMembers, Member

__all__ = ["Call", "GetMembers", "Member"]
