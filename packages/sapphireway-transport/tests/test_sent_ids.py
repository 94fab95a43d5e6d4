import math

from sapphireway_transport._sent_ids import SentIds


def test_ids_are_remembered_for_a_generation_at_least():
    ids = SentIds(0.0, ids_max=3)
    for number in range(20):
        ids.add(str(number), float(number))
        assert all(str(n) in ids for n in range(max(0, number - 2), number + 1))
    assert "0" not in ids


def test_no_id_is_forgotten_that_was_sent_since_the_time_given():
    ids = SentIds(0.0, ids_max=3)
    assert ids.complete_since_s == -math.inf
    for number in range(20):
        ids.add(str(number), float(number))
        sent = [n for n in range(number + 1) if n > ids.complete_since_s]
        assert all(str(n) in ids for n in sent)
    assert ids.complete_since_s > 10.0
