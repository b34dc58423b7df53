"""Entries on a mock clock that send to a region of warming servers."""

import random

import trio

from greengagetrack.connection import base
from greengagetrack.connection import direct_messages
from greengagetrack.connection import messages
from greengagetrack.connection import source as source_module
from greengagetrack.process.direct import directory as directory_module
from greengagetrack.process.direct import limit_news
from greengagetrack.process.direct import members as members_module
from greengagetrack.process.direct import permits as permits_module
from greengagetrack.process.direct import warming_servers
from greengagetrack.version import catalog
from tests.direct import fakes

PER_S = 17.0
RATIO = 1.5
SLACK = 5.0
BOUND = PER_S * RATIO + SLACK
WARMING_S = 3.0
PERIOD_S = 0.4
SEND_PERIOD_S = 0.04
DELAYS_S = (0.0, 0.015)
CATALOG = fakes.new_catalog(
    services=[
        catalog.Service("svc", warming_s=WARMING_S, warming_per_s=PER_S),
        catalog.Service("pool", batching=fakes.BATCHING),
    ]
)


class WarmingEntry:
    """One entry: what it knows, and whether it runs."""

    def __init__(self, fleet, index, data_centre):
        self.name = f"n{index}"
        self.address = f"{self.name}:1"
        self.data_centre = data_centre
        self.members = members_module.new_members(
            self.name, self.address, data_centre, 1.0, ()
        )
        self.warming = warming_servers.new_warming_servers(lambda: CATALOG)
        self.warming.set_bound(RATIO, SLACK)
        self.directory = directory_module.new_directory(
            lambda server: None, self.warming
        )
        self.permits = permits_module.new_permits(
            self.members,
            base.new_links(FleetLinks(fleet, index)),
            self.directory,
            f"{self.name}/1",
            random.Random(index),
        )
        self.awake = trio.Event()
        self.awake.set()
        self.is_dead = False
        # Only entries of one group reach one another.
        self.group = 0

    def publish(self, servers):
        """Read the records of servers from the source."""
        self.directory.apply_update(
            source_module.Update(1, servers=tuple(servers))
        )


class WarmingFleet:
    """Entries of two data centres, and servers in one of them."""

    def __init__(self, entry_count, server_count, seed=1):
        self.generator = random.Random(seed)
        self.nursery = None
        self.arrivals_by_server = {}
        self.published = [
            fakes.new_server(f"s-{number}") for number in range(server_count)
        ]
        self.entries = [
            WarmingEntry(self, index, "dc-a" if index % 2 else "dc-b")
            for index in range(entry_count)
        ]
        for entry in self.entries:
            entry.publish(self.published)
        self._exchange()

    def reaches(self, entry, other):
        """Return whether messages pass between two entries."""
        return entry.group == other.group and not other.is_dead

    def get_owner(self):
        """Return the entry that owns the limits of the servers."""
        entry = next(
            entry for entry in self.entries if entry.data_centre == "dc-a"
        )
        peer = entry.members.find_owner("svc", "dc-a")
        name = entry.name if peer is None else peer.name
        return next(entry for entry in self.entries if entry.name == name)

    def return_at_once(self, incarnation=2, unaware=()):
        """Start all servers anew; the `unaware` can't read of it."""
        servers = [
            fakes.new_server(server.server_id, incarnation=incarnation)
            for server in self.published
        ]
        for entry in self.entries:
            if entry not in unaware:
                entry.publish(servers)

    async def run(self, end_s):
        """Let all entries send as much as they may until `end_s`."""
        with trio.move_on_at(end_s):
            async with trio.open_nursery() as nursery:
                self.nursery = nursery
                nursery.start_soon(self._exchange_always)
                for entry in self.entries:
                    nursery.start_soon(self._update, entry)
                    for server in self.published:
                        nursery.start_soon(self._send, entry, server.server_id)

    async def freeze(self, entry, duration_s):
        """Stop an entry for a while."""
        entry.awake = trio.Event()
        await trio.sleep(duration_s)
        entry.awake.set()

    async def _update(self, entry):
        while True:
            await trio.sleep(0.1)
            await entry.awake.wait()
            entry.warming.update()

    async def _exchange_always(self):
        while True:
            await trio.sleep(PERIOD_S)
            self._exchange()

    def _exchange(self):
        """Let entries hear of one another, and of the limits."""
        now = trio.current_time()
        for entry in self.entries:
            if not entry.awake.is_set() or entry.is_dead:
                continue
            news = [
                limit_news.new_message(server, entry.name)
                for server in entry.directory.get_limited()
            ]
            for other in self.entries:
                if other is entry or not self.reaches(entry, other):
                    continue
                if not other.awake.is_set():
                    continue
                member = direct_messages.Member(
                    entry.name, entry.address, 0, 1
                )
                other.members.update_peer(member, entry.data_centre, now)
                for message in news:
                    limit_news.apply(other.directory, message, other.name)

    async def _send(self, entry, server_id):
        """Send requests to a server whenever a permit is to be had."""
        while not entry.is_dead:
            server = entry.directory.server_by_id[server_id]
            permit = await entry.permits.acquire(server, 0, 0.3)
            # It may be stopped between its permit and the sending.
            await entry.awake.wait()
            if permit is not None and not entry.is_dead:
                delay_s = self.generator.uniform(*DELAYS_S)
                self.arrivals_by_server.setdefault(server_id, []).append(
                    trio.current_time() + delay_s
                )
            await trio.sleep(SEND_PERIOD_S * self.generator.uniform(0.5, 1.5))

    def count_most(self, start_s, end_s):
        """Return the most that a server got in a second of a time."""
        most = 0
        for arrivals in self.arrivals_by_server.values():
            times = [time for time in arrivals if start_s <= time < end_s]
            for first_s in times:
                count = sum(first_s <= time < first_s + 1.0 for time in times)
                most = max(most, count)
        return most


class FleetLinks(base.LinkFactory):
    """The links of one entry of a fleet."""

    def __init__(self, fleet, index):
        self.fleet = fleet
        self.index = index

    def open_link(self, address):
        return FleetLink(self.fleet, self.index, address)


class FleetLink(base.PeerLink):
    """A link between two entries of a fleet."""

    def __init__(self, fleet, index, address):
        self._fleet = fleet
        self._index = index
        self._address = address

    def is_up(self):
        return True

    async def request(self, message, timeout_s):
        fleet = self._fleet
        entry = fleet.entries[self._index]
        other = next(
            entry for entry in fleet.entries if entry.address == self._address
        )
        reply = base.Lost("silent")
        answered = trio.Event()

        async def handle():
            nonlocal reply
            await trio.sleep(0.012)
            await other.awake.wait()
            decoded = messages.decode_request(messages.encode(message))
            reply = await other.permits.handle(decoded)
            await trio.sleep(0.012)
            answered.set()

        if fleet.reaches(entry, other):
            # It goes on where it was received, whoever still waits for it.
            fleet.nursery.start_soon(handle)
        with trio.move_on_after(timeout_s):
            await answered.wait()
        return reply if answered.is_set() else base.Lost("silent")

    def close(self):
        pass
