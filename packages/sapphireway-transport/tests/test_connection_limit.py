import pytest

from sapphireway_transport import ConnectionLimit, ConnectionUse


class FakeConnection:
    aborted = False

    def abort(self):
        self.aborted = True


def add(limit, *uses):
    """Add a connection of each use; return them all."""
    added = []
    for use in uses:
        connection = FakeConnection()
        limit.add(connection)
        limit.set_use(connection, use)
        added.append(connection)
    return added


def test_connection_of_least_use_is_closed_first():
    uses = sorted(ConnectionUse, reverse=True)
    limit = ConnectionLimit(len(uses))
    connections = dict(zip(uses, add(limit, *uses), strict=True))
    for expected in sorted(uses)[:-1]:
        add(limit, ConnectionUse.BUSY)
        aborted = [use for use in uses if connections[use].aborted]
        assert min(uses) in aborted and max(aborted) == expected
    assert not connections[ConnectionUse.BUSY].aborted


def test_connection_unused_for_longest_is_closed_first():
    limit = ConnectionLimit(3)
    oldest, used_again, newest = add(limit, *[ConnectionUse.IDLE] * 3)
    limit.set_use(oldest, ConnectionUse.BUSY)
    limit.set_use(oldest, ConnectionUse.IDLE)
    add(limit, ConnectionUse.BUSY)
    assert [c.aborted for c in (oldest, used_again, newest)] == [False, True, False]


def test_new_connection_is_closed_while_all_others_are_busy():
    limit = ConnectionLimit(2)
    busy = add(limit, ConnectionUse.BUSY, ConnectionUse.BUSY)
    (added,) = add(limit, ConnectionUse.IDLE)
    assert added.aborted and not any(c.aborted for c in busy)
    limit.remove(busy[0])
    (added,) = add(limit, ConnectionUse.BUSY)
    assert not added.aborted and limit.closed_count == 1


@pytest.mark.parametrize("use", list(ConnectionUse))
def test_removed_connection_is_never_closed(use):
    limit = ConnectionLimit(1)
    (removed,) = add(limit, use)
    limit.remove(removed)
    limit.set_use(removed, ConnectionUse.IDLE)
    limit.remove(removed)
    add(limit, ConnectionUse.IDLE)
    assert not removed.aborted and limit.closed_count == 0
