"""Tests of servers whose records lapse at the source while they run."""

import trio

from greengagetrack.connection import source as source_module
from tests.direct import fakes
from tests.direct import warming_fleet


def test_server_whose_record_comes_back_is_not_warming():
    """A whole service was slowed down after a loss at the source."""

    async def check(_nursery):
        fleet = warming_fleet.WarmingFleet(entry_count=1, server_count=2)
        directory = fleet.entries[0].directory
        published = fakes.new_server("s-0", incarnation=7)

        def publish(server, **fields):
            update = source_module.Update(3, servers=(server,), **fields)
            directory.apply_update(update)
            return directory.server_by_id[server.server_id].limit.is_warming

        publish(published)
        directory.apply_update(source_module.Update(4, removed=("s-0",)))
        await trio.sleep(3.0)
        directory.apply_update(source_module.Update(5))
        assert "s-0" not in directory.server_by_id
        assert not publish(published)
        assert publish(fakes.new_server("s-0", incarnation=8))

    fakes.run_with_mock_clock(check)
