"""Share of the event loop's time for connections that bring many small pieces.

Each piece (a chunk, a header, a pipelined request) costs a callback, whatever its size.
A connection whose input is cut into tiny pieces, and never pauses, would keep the event
loop busy with little else.
"""

PIECES_MAX = 256  # that are handled without a pause
# Many times the work for a piece, so that connections that pause together leave most
# of the loop's time to others.
PAUSE_PER_PIECE_S = 40e-6
PAUSE_MAX_S = 1.0


class ReadShare:
    """Tells connections how long to pause, so that all share a part of the loop's time.

    Attributes
    ----------
    paused : int
        Connections that pause now.
    """

    __slots__ = ("paused",)

    def __init__(self):
        self.paused = 0

    def compute_pause(self, pieces: int) -> float:
        """Return the seconds for which a connection pauses after it brought pieces.

        0 if it needn't.
        """
        if pieces <= PIECES_MAX:
            return 0.0
        pause_s = pieces * PAUSE_PER_PIECE_S * (1 + self.paused)
        return min(pause_s, PAUSE_MAX_S)
