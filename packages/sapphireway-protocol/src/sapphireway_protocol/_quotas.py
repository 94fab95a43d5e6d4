"""Messages by which nodes get tokens for requests of limited workspaces."""

import msgspec


class TokenWant(msgspec.Struct, frozen=True, array_like=True):
    """Tokens that a node wants for one workspace.

    Attributes
    ----------
    workspace : str
    needed : int
        Requests that wait for a token.
    spare : int
        Further requests that the node expects soon.
    refused : int
        Requests that the node has refused since its last ask.
    """

    workspace: str
    needed: int
    spare: int = 0
    refused: int = 0


class ReturnedTokens(msgspec.Struct, frozen=True, array_like=True):
    """Unused tokens of one grant, which the node will no longer use.

    Attributes
    ----------
    number : int
        Number of the ask that was granted.
    workspace : str
    count : int
    """

    number: int
    workspace: str
    count: int


class AskTokens(msgspec.Struct, frozen=True, tag="ask_tokens", array_like=True):
    """Request of a node to the leader of the quorum for tokens.

    Attributes
    ----------
    number : int
        Increases with each ask of one incarnation of the node.
    incarnation : str
    wants : list of TokenWant
    returns : list of ReturnedTokens
    forwarded : bool
        True if another control host passed the ask on.
    """

    number: int
    incarnation: str
    wants: list[TokenWant]
    returns: list[ReturnedTokens] = []
    forwarded: bool = False


class TokenGrant(msgspec.Struct, frozen=True, array_like=True):
    """Tokens for one workspace.

    Attributes
    ----------
    workspace : str
    ready : int
        Tokens that may be used at once.
    later : int
        Tokens that may be used one by one: the first `first_s` after the answer
        arrived, each further one `step_s` after the one before.
    first_s, step_s : float
    empty_s : float
        Time during which the owner has no further token for the node; 0 if everything
        that was needed is granted, and nothing that has not accrued.
    retry_s : float
        Time after which a refused request finds a token.
    """

    workspace: str
    ready: int
    later: int = 0
    first_s: float = 0.0
    step_s: float = 0.0
    empty_s: float = 0.0
    retry_s: float = 0.0


class GrantTokens(msgspec.Struct, frozen=True, tag="grant_tokens", array_like=True):
    """Answer to `AskTokens`.

    Attributes
    ----------
    granting : bool
        False if the host does not lead, can't confirm that it does, or must wait until
        the grants of an earlier leader have expired; then there are no grants.
    leader : str
        Address of the leader; empty if none is known.
    valid_s : float
        How long after the ask the tokens may be used.
    start_s : float
        If not `granting`, time after which the leader will grant; 0 if unknown.
    grants : list of TokenGrant
    """

    granting: bool
    leader: str
    valid_s: float = 0.0
    start_s: float = 0.0
    grants: list[TokenGrant] = []


MESSAGES = (AskTokens, GrantTokens)
