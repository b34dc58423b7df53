"""News of crashes: bounded, and not repeated to peers that have it."""

import pytest
import trio
import trio.testing

from greengagetrack.process.direct import crash_guard
from greengagetrack.process.direct.decisions import blame

PARTS = 2_000


def _new_guard():
    return crash_guard.new_crash_guard(None, None, None)


def _crash(guard, number, part_count):
    """Record a server that crashed under a request with parts of its own."""
    parts = tuple(f"{number}.{index}" for index in range(part_count))
    suspect = blame.Suspect(f"r{number}", parts, True)
    now_s = trio.current_time()
    guard._evidence.record_crash(f"s{number}/1", [suspect], now_s)


def _run(check):
    async def main():
        await check()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


def test_news_of_requests_with_many_parts_is_told_in_bounded_messages():
    """Each digest carried all parts to each peer (review/6)."""

    async def check():
        guard, peer = _new_guard(), _new_guard()
        for number in range(10):
            _crash(guard, number, PARTS)
        heard = crash_guard.NOTHING_HEARD
        for _message in range(10):
            news = guard.new_news(heard)
            told = [part for crashed in news.crashed for part in crashed.parts]
            assert len(told) <= crash_guard.PARTS_TOLD_MAX
            peer.apply_news(news)
            heard = crash_guard.HeardNews(
                news.last_number, trio.current_time()
            )
        assert not guard.new_news(heard).crashed
        assert len(peer._evidence.get_crashed(-1.0)) == 10
        await trio.sleep(0)

    _run(check)


def test_a_peer_that_has_heard_of_a_crash_is_told_what_clears_its_parts():
    async def check():
        guard, peer = _new_guard(), _new_guard()
        _crash(guard, 1, 2)
        news = guard.new_news()
        peer.apply_news(news)
        await trio.sleep(0.5)
        heard = crash_guard.HeardNews(news.last_number, trio.current_time())
        guard._evidence.record_sound(("1.0",), trio.current_time())
        news = guard.new_news(heard)
        assert not news.crashed
        assert [sound.part for sound in news.sound] == ["1.0"]
        peer.apply_news(news)
        assert peer._evidence.was_sound_since("1.0", 0.4)
        await trio.sleep(5.0)
        heard = crash_guard.HeardNews(news.last_number, trio.current_time())
        assert not guard.new_news(heard).sound

    _run(check)


@pytest.mark.parametrize("part_count", [3, PARTS])
def test_log_line_of_a_crash_has_a_bounded_number_of_parts(caplog, part_count):
    async def check():
        guard, peer = _new_guard(), _new_guard()
        _crash(guard, 1, part_count)
        with caplog.at_level("INFO"):
            peer.apply_news(guard.new_news())
        (line,) = [r for r in caplog.records if r.msg == "prompt part"]
        assert len(line.parts) <= crash_guard.PARTS_LOGGED_MAX
        assert line.parts[-1] == f"1.{part_count - 1}"
        await trio.sleep(0)

    _run(check)
