from sapphireway_state._frame import encode_frame, scan_frames


def test_damage_before_an_empty_frame_is_not_a_torn_write():
    damaged = bytes([encode_frame(b"first")[0] ^ 0xFF]) + encode_frame(b"first")[1:]
    scan = scan_frames(damaged + encode_frame(b""))
    assert (scan.payloads, scan.end, scan.damaged) == ([], 0, True)


def test_torn_last_frame_is_not_damage():
    torn = encode_frame(b"second")[:-1]
    scan = scan_frames(encode_frame(b"first") + torn)
    assert (scan.payloads, scan.damaged) == ([b"first"], False)
