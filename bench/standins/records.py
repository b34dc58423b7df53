"""Records of what the backend servers executed, for checks and counts."""

import hashlib

import msgspec
import trio


class Execution(msgspec.Struct):
    """A call that a backend server executed, completely or in part."""

    server: str
    service: str
    stage: str
    marker: str
    call_id: str
    started_s: float
    engine_ms: float = 0.0
    tokens: int = 0
    reused_tokens: int = 0
    is_whole: bool = False


class Records:
    """The executions of all stand-ins of one deployment."""

    __slots__ = ("executions",)

    def __init__(self):
        self.executions = []

    def start(self, server, service, stage, marker, call_id):
        """Add the record of a call that starts now; return it."""
        execution = Execution(
            server, service, stage, marker, call_id, trio.current_time()
        )
        self.executions.append(execution)
        return execution


def get_token(marker, index):
    """Return the token at `index` of the text for a caller's marker.

    Engines and callers compute the same tokens, so a caller can check that
    it received its own text and all of it.
    """
    seed = f"{marker}:{index}".encode()
    return hashlib.blake2b(seed, digest_size=2).hexdigest() + " "


def get_text(marker, count):
    """Return the complete text of `count` tokens for a marker."""
    return "".join(get_token(marker, index) for index in range(count))
