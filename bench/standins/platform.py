"""Stand-ins for the configuration service and the VM list service."""

import msgspec
import quart
import quart_trio
import trio

from greengagetrack.connection.platform import base
from greengagetrack.connection.platform import http
from greengagetrack.version import loader
from greengagetrack.version import table

WAIT_MAX_S = 30.0


class PublishedValue:
    """The published value of a key and its revision."""

    __slots__ = ("revision", "text")

    def __init__(self, revision, text):
        self.revision = revision
        self.text = text


class Platform:
    """The published documents and VMs, and the injected faults."""

    def __init__(self):
        self.published_by_key = {}
        self.revision = 0
        self.vms = []
        self.vm_version = 0
        self.is_config_down = False
        self.is_list_down = False
        self.stale_value_by_key = None
        self.reads = 0
        self.reads_by_second = {}
        self._changed = trio.Event()

    def publish(self, version, text_by_key):
        """Publish a table: the documents first, the manifest last."""
        for key, text in text_by_key.items():
            self._put(key, text)
        manifest = loader.write_manifest(version, text_by_key)
        self._put(table.MANIFEST_KEY, manifest)
        self._notify()

    def _put(self, key, text):
        value = self.published_by_key.get(key)
        if value is None or value.text != text:
            self.revision += 1
            self.published_by_key[key] = PublishedValue(self.revision, text)

    def reset(self, text_by_key):
        """Drop everything; publish table version 1 with low revisions."""
        self.published_by_key.clear()
        self.revision = 0
        self.publish(1, text_by_key)

    def set_stale(self, is_stale):
        """Serve reads from a copy made now, or from the current values."""
        copy = dict(self.published_by_key)
        self.stale_value_by_key = copy if is_stale else None
        self._notify()

    def set_vms(self, vms):
        """Publish a new VM list."""
        self.vms = list(vms)
        self.vm_version += 1

    def _notify(self):
        self._changed.set()
        self._changed = trio.Event()

    def count_read(self):
        """Count a read; a watch counts once, however long it waits."""
        self.reads += 1
        second = int(trio.current_time())
        count = self.reads_by_second.get(second, 0)
        self.reads_by_second[second] = count + 1

    def get(self, key):
        """Return the value of a key as readers see it, or None."""
        value_by_key = self.stale_value_by_key
        if value_by_key is None:
            value_by_key = self.published_by_key
        return value_by_key.get(key)

    async def wait_for_change(self, key, revision, wait_s):
        """Return the value once its revision differs, None on timeout."""
        with trio.move_on_after(min(wait_s, WAIT_MAX_S)):
            while True:
                value = self.get(key)
                if value is not None and value.revision != revision:
                    return value
                await self._changed.wait()
        return None

    def get_vm_list(self, view):
        """Return the VM list with addresses as one region sees them."""
        return base.VmList(
            self.vm_version, [view.translate(vm) for vm in self.vms]
        )


class UntranslatedView:
    """A view that does not translate addresses."""

    def translate(self, vm):
        """Return the VM unchanged."""
        return vm


class ConfigFake(base.ConfigService):
    """An in-process configuration service without HTTP."""

    def __init__(self, platform):
        self._platform = platform

    async def read(self, key):
        """Return the `Value` of a key, or None."""
        self._platform.count_read()
        await trio.lowlevel.checkpoint()
        return self._new_value(self._platform.get(key))

    async def watch(self, key, revision, wait_s):
        """Return the `Value` of a key once its revision differs."""
        self._platform.count_read()
        value = await self._platform.wait_for_change(key, revision, wait_s)
        return self._new_value(value)

    def _new_value(self, value):
        if value is None or self._platform.is_config_down:
            return None
        return base.Value(value.revision, value.text)


class VmListFake(base.VmListService):
    """An in-process VM list service without HTTP."""

    def __init__(self, platform):
        self._platform = platform

    async def read(self, version):
        """Return the `VmList`, None if unchanged, or `Unreachable`."""
        await trio.lowlevel.checkpoint()
        if self._platform.is_list_down:
            return base.Unreachable("down")
        if version == self._platform.vm_version:
            return None
        return self._platform.get_vm_list(UntranslatedView())


def new_app(platform, view_by_region):
    """Return the application that serves the platform over HTTP."""
    app = quart_trio.QuartTrio("platform")
    app.config["RESPONSE_TIMEOUT"] = None

    @app.get("/v1/keys/<path:key>")
    async def read(key):
        platform.count_read()
        if platform.is_config_down:
            return quart.Response("down", 503)
        value = platform.get(key)
        if "after" in quart.request.args:
            revision = int(quart.request.args["after"])
            wait_s = int(quart.request.args.get("wait_ms", "0")) / 1000
            value = await platform.wait_for_change(key, revision, wait_s)
        if value is None:
            return quart.Response("", 404)
        headers = {http.REVISION_HEADER: str(value.revision)}
        return quart.Response(value.text, 200, headers=headers)

    @app.get("/vms/<region>")
    async def vms(region):
        if platform.is_list_down:
            return quart.Response("down", 503)
        after = int(quart.request.args.get("after", "-1"))
        if after == platform.vm_version:
            return quart.Response("", 304)
        listed = platform.get_vm_list(view_by_region[region])
        return quart.Response(
            msgspec.json.encode(listed), content_type="application/json"
        )

    return app
