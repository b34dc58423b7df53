"""Authentication of the messages between the system's own processes.

A sealed message is `version | key id | code | body`. The code is a keyed
BLAKE2b hash of the body and, in a reply, also of the request's code, so that
a reply is valid only for its own request. Every key of the ring verifies and
the first one signs. To rotate keys, append the new key on all processes, then
move it to the front, then remove the old one.
"""

import hashlib
import hmac

_VERSION = b"\x01"
_KEY_ID_BYTES = 4
_CODE_BYTES = 16
HEADER_BYTES = len(_VERSION) + _KEY_ID_BYTES + _CODE_BYTES


class KeyRing:
    """The accepted keys, and which of them signs."""

    __slots__ = ("_key_by_id", "_signing_id")

    def __init__(self, key_by_id, signing_id):
        self._key_by_id = key_by_id
        self._signing_id = signing_id

    def seal(self, body, context=b""):
        """Return `body` sealed with the signing key."""
        code = self._get_code(self._signing_id, body, context)
        return _VERSION + self._signing_id + code + body

    def open(self, sealed, context=b""):
        """Return the body, or None if no key of the ring sealed it."""
        if len(sealed) < HEADER_BYTES or sealed[:1] != _VERSION:
            return None
        key_id = sealed[1 : 1 + _KEY_ID_BYTES]
        if key_id not in self._key_by_id:
            return None
        body = sealed[HEADER_BYTES:]
        code = self._get_code(key_id, body, context)
        if not hmac.compare_digest(code, get_code(sealed)):
            return None
        return body

    def get_digest(self, data):
        """Return a digest of `data` that only holders of the key can make."""
        return self._get_code(self._signing_id, data, b"")

    def _get_code(self, key_id, body, context):
        digest = hashlib.blake2b(
            key=self._key_by_id[key_id], digest_size=_CODE_BYTES
        )
        digest.update(len(context).to_bytes(4, "big"))
        digest.update(context)
        digest.update(body)
        return digest.digest()


def get_code(sealed):
    """Return the authentication code of a sealed message."""
    return sealed[1 + _KEY_ID_BYTES : HEADER_BYTES]


def new_key_ring(keys):
    """Return the ring of `keys`, byte strings of 16 to 64 bytes."""
    key_by_id = {
        hashlib.blake2b(key, digest_size=_KEY_ID_BYTES).digest(): key
        for key in keys
    }
    return KeyRing(key_by_id, next(iter(key_by_id)))
