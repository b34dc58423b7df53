"""Records of streams end by the terms under which each was admitted."""

from greengagetrack.process.direct import stream_records


def _add(records, key, end_s):
    record = stream_records.StreamRecord("svc", "v1", end_s)
    return records.add("org", key, record)


def test_records_end_in_the_order_of_their_ends():
    records = stream_records.new_stream_records()
    for key, end_s in ((b"long", 15.0), (b"short", 5.0), (b"middle", 9.0)):
        _add(records, key, end_s)
    records.drop_ended(8.0)
    assert records.find("org", b"short") is None
    assert records.find("org", b"long") and records.find("org", b"middle")
    records.drop_ended(16.0)
    assert len(records) == 0


def test_a_stream_that_is_taken_up_is_remembered_for_longer():
    records = stream_records.new_stream_records()
    _add(records, b"1", 5.0)
    _add(records, b"1", 12.0)
    _add(records, b"1", 3.0)
    records.drop_ended(11.0)
    assert records.find("org", b"1").end_s == 12.0
    records.drop_ended(13.0)
    assert len(records) == 0


def test_ends_of_records_that_were_pushed_out_take_bounded_room():
    records = stream_records.StreamRecords(records_max=4)
    bound = 2 * 4 + stream_records.STALE_ENDS_MIN + 1
    for number in range(5_000):
        _add(records, b"%d" % number, 1e6 + number)
        assert len(records._ends) <= bound
    assert len(records) == 4
    records.drop_ended(2e6)
    assert len(records) == 0
