"""Clients of the platform over HTTP; see docs/ref/backends.md."""

import httpx
import msgspec

from greengagetrack.connection import answer_end
from greengagetrack.connection.http import framing as framing_module
from greengagetrack.connection.http import numbers
from greengagetrack.connection import http_client
from greengagetrack.connection.platform import base

READ_TIMEOUT_S = 2.0
VALUE_MAX_BYTES = 1024 * 1024
REVISION_HEADER = "X-Revision"

_list_decoder = msgspec.json.Decoder(base.VmList)


class HttpConfigService(base.ConfigService):
    """The configuration service over HTTP."""

    __slots__ = ("_client", "_url")

    def __init__(self, client, url):
        self._client = client
        self._url = url

    async def read(self, key):
        """Return the `Value` of `key`, or None if it can't be read."""
        return await self._get(key, {}, READ_TIMEOUT_S)

    async def watch(self, key, revision, wait_s):
        """Return the `Value` of `key` once its revision has changed."""
        parameters = {"after": revision, "wait_ms": int(wait_s * 1000)}
        return await self._get(key, parameters, wait_s + READ_TIMEOUT_S)

    async def _get(self, key, parameters, timeout_s):
        try:
            response = await self._client.get(
                f"{self._url}/v1/keys/{key}",
                params=parameters,
                timeout=timeout_s,
            )
        except httpx.HTTPError:
            return None
        if response.status_code != httpx.codes.OK:
            return None
        framing = framing_module.get_framing(
            b"GET", response.status_code, response.headers.raw
        )
        # The first lines of a value may be a valid value.
        if not answer_end.is_body_end_proven(framing):
            return None
        revision = numbers.read_count(
            response.headers.get(REVISION_HEADER, ""), numbers.COUNT_MAX
        )
        if revision is None or len(response.content) > VALUE_MAX_BYTES:
            return None
        return base.Value(revision, response.content)


class HttpVmListService(base.VmListService):
    """The VM list over HTTP."""

    __slots__ = ("_client", "_url")

    def __init__(self, client, url):
        self._client = client
        self._url = url

    async def read(self, version):
        """Return the `VmList`, None if unchanged, or `Unreachable`."""
        try:
            response = await self._client.get(
                self._url, params={"after": version}, timeout=READ_TIMEOUT_S
            )
        except httpx.HTTPError as error:
            return base.Unreachable(str(error))
        if response.status_code == httpx.codes.NOT_MODIFIED:
            return None
        if response.status_code != httpx.codes.OK:
            return base.Unreachable(f"status {response.status_code}")
        return decode_vm_list(response.content)


def decode_vm_list(body):
    """Return the `VmList` in `body`, or `Unreachable` if it is invalid."""
    try:
        return _list_decoder.decode(body)
    except (msgspec.MsgspecError, UnicodeError, RecursionError) as error:
        return base.Unreachable(str(error))


def new_config_service(url):
    """Return a client of the configuration service at `url`."""
    client = http_client.new_http_client(url)
    return HttpConfigService(client, url.rstrip("/"))


def new_vm_list_service(url):
    """Return a client of the VM list at `url`."""
    return HttpVmListService(http_client.new_http_client(url), url)
