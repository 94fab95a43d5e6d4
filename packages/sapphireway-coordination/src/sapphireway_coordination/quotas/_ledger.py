"""The owner's buckets of all workspaces in one term, and its recent grants."""

import collections
from collections.abc import Sequence

import msgspec

from sapphireway_coordination.quotas._bucket import (
    HORIZON_S,
    START_TOKENS,
    TOKEN_VALIDITY_S,
    TokenBucket,
)
from sapphireway_protocol import AskTokens, GrantTokens, TokenGrant
from sapphireway_state import Workspace

# Clocks of two hosts drift apart by less than this within the validity.
CLOCK_MARGIN_S = 0.01
# Buckets of removed workspaces are kept for a window, so that a workspace that is put
# back does not get its burst again.
REMOVED_KEPT_S = 6.0
# With less validity left than this, tokens expire before a node can use them.
VALID_MIN_S = HORIZON_S + 0.05


class _NodeGrants:
    """Recent grants to one incarnation of a node, by the number of the ask."""

    __slots__ = ("answers", "unreturned")

    def __init__(self):
        self.answers = collections.OrderedDict()
        self.unreturned = {}


class TokenLedger:
    """Decides on asks for tokens while one host leads the quorum in one term.

    Parameters
    ----------
    elected_s : float
        Loop time at or after the election.
    workspaces : sequence of Workspace
        Workspaces for which an earlier owner may have granted tokens.
    """

    __slots__ = ("_buckets", "_nodes", "_removed_s", "_starts_s", "_workspaces")

    def __init__(self, elected_s: float, workspaces: Sequence[Workspace]):
        # A token is valid until TOKEN_VALIDITY_S after a time at which a majority had
        # not elected anybody else yet.
        self._starts_s = elected_s + TOKEN_VALIDITY_S + CLOCK_MARGIN_S
        self._nodes = {}
        self._removed_s = {}
        self._workspaces = workspaces
        self._buckets = {
            w.name: TokenBucket(w.rate_per_s, w.burst, self._starts_s, START_TOKENS)
            for w in workspaces
            if w.rate_per_s > 0
        }

    def set_workspaces(self, workspaces: Sequence[Workspace], now_s: float) -> None:
        """Put the limits of a new table in force."""
        if workspaces is self._workspaces:
            return
        self._workspaces = workspaces
        limited = {w.name: w for w in workspaces if w.rate_per_s > 0}
        for name in self._buckets:
            if name not in limited:
                self._removed_s.setdefault(name, now_s)
        for name, removed_s in list(self._removed_s.items()):
            if name in limited:
                del self._removed_s[name]
            elif now_s - removed_s > REMOVED_KEPT_S:
                del self._removed_s[name], self._buckets[name]
        for name, workspace in limited.items():
            bucket = self._buckets.get(name)
            if bucket is None:
                bucket = TokenBucket(workspace.rate_per_s, workspace.burst, now_s)
                self._buckets[name] = bucket
            else:
                bucket.set_limit(workspace.rate_per_s, workspace.burst, now_s)

    def answer(
        self, node: str, ask: AskTokens, now_s: float, confirmed_age_s: float
    ) -> GrantTokens:
        """Return the answer to an ask; a repeated ask gets the same answer.

        Parameters
        ----------
        node : str
            Address of this host, which leads.
        ask : AskTokens
        now_s : float
            Loop time.
        confirmed_age_s : float
            Time since this host asked a majority of the voters, which has confirmed
            that it leads.
        """
        if now_s < self._starts_s:
            return GrantTokens(False, node, start_s=self._starts_s - now_s)
        valid_s = TOKEN_VALIDITY_S - confirmed_age_s
        if valid_s < VALID_MIN_S:
            return GrantTokens(False, "")
        grants = self._nodes.setdefault(ask.incarnation, _NodeGrants())
        self._forget_old_grants(grants, now_s)
        known = grants.answers.get(ask.number)
        if known is not None:
            return known[1]
        self._take_back(grants, ask, now_s)
        answer = GrantTokens(
            True,
            node,
            valid_s,
            0.0,
            [self._grant(ask.incarnation, want, now_s) for want in ask.wants],
        )
        grants.answers[ask.number] = (now_s, answer)
        for grant in answer.grants:
            key = (ask.number, grant.workspace)
            grants.unreturned[key] = grant.ready + grant.later
        self._forget_old_nodes(now_s)
        return answer

    def _grant(self, node, want, now_s):
        name = want.workspace
        bucket = self._buckets.get(name)
        if bucket is None or name in self._removed_s:
            return TokenGrant(name, want.needed + want.spare)
        if want.refused:
            bucket.add_refusals(want.refused, now_s)
        granted = bucket.grant(node, want.needed, want.spare, now_s)
        step_s = 1.0 / bucket.rate_per_s
        grant = TokenGrant(name, granted.ready, granted.later, granted.first_s, step_s)
        if granted.ready >= want.needed and not granted.later:
            return grant
        return msgspec.structs.replace(
            grant,
            empty_s=bucket.get_empty_s(now_s),
            retry_s=bucket.get_retry_s(now_s),
        )

    def _take_back(self, grants, ask, now_s):
        for returned in ask.returns:
            key = (returned.number, returned.workspace)
            count = min(returned.count, grants.unreturned.get(key, 0))
            bucket = self._buckets.get(returned.workspace)
            if count > 0 and bucket is not None:
                grants.unreturned[key] -= count
                granted_s = grants.answers[returned.number][0]
                bucket.give_back(count, granted_s, now_s)

    def _forget_old_grants(self, grants, now_s):
        while grants.answers:
            number, (answered_s, answer) = next(iter(grants.answers.items()))
            if now_s - answered_s <= TOKEN_VALIDITY_S:
                return
            del grants.answers[number]
            for grant in answer.grants:
                grants.unreturned.pop((number, grant.workspace), None)

    def _forget_old_nodes(self, now_s):
        # Nodes are kept in the order of their last ask only roughly; a silent one is
        # found sooner or later as each ask looks at the first.
        first = next(iter(self._nodes))
        grants = self._nodes.pop(first)
        self._forget_old_grants(grants, now_s)
        if grants.answers:
            self._nodes[first] = grants
