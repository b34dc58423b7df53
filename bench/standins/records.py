"""What the backend servers executed: the truth that counts compare with."""

import hashlib

import msgspec
import trio


class Execution(msgspec.Struct):
    """One call that a backend server executed, whole or in part."""

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
        """Return the record of a call that starts now."""
        execution = Execution(
            server, service, stage, marker, call_id, trio.current_time()
        )
        self.executions.append(execution)
        return execution


def get_token(marker, index):
    """Return the token at `index` of the text for a caller's marker.

    Engines and callers compute it alike, so a caller can tell its own
    whole text from any other.
    """
    seed = f"{marker}:{index}".encode()
    return hashlib.blake2b(seed, digest_size=2).hexdigest() + " "


def get_text(marker, count):
    """Return the whole text of `count` tokens for a marker."""
    return "".join(get_token(marker, index) for index in range(count))
