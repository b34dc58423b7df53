"""Encoding of the messages between the system's own processes."""

import msgspec

from greengagetrack.connection import agent_messages
from greengagetrack.connection import direct_messages
from greengagetrack.connection import message_base

MESSAGE_MAX_BYTES = 2 * 1024 * 1024


class Rejected(message_base.Message, tag="rejected"):
    """The reply to a message that was not accepted, with the reason."""

    detail: str


REQUESTS = (
    agent_messages.Submit
    | agent_messages.Pull
    | agent_messages.Withdraw
    | agent_messages.IssueTicket
    | agent_messages.PromiseRequest
    | agent_messages.Report
    | agent_messages.Digest
    | agent_messages.LeaseRequest
    | agent_messages.HandOverLimits
    | agent_messages.FetchManifest
    | agent_messages.FetchDocument
    | direct_messages.EntryDigest
    | direct_messages.MakePieces
    | direct_messages.FreeResults
    | direct_messages.DropPieces
    | direct_messages.AcquirePermit
    | direct_messages.TellStreams
    | direct_messages.FindStream
)
REPLIES = (
    agent_messages.Chunk
    | agent_messages.WithdrawReply
    | agent_messages.Ticket
    | agent_messages.Promise
    | agent_messages.Acknowledgement
    | agent_messages.LeaseReply
    | agent_messages.Manifest
    | agent_messages.Document
    | Rejected
    | direct_messages.EntryDigestReply
    | direct_messages.MakePiecesReply
    | direct_messages.PermitReply
    | direct_messages.StreamVersion
)

_encoder = msgspec.msgpack.Encoder()
_request_decoder = msgspec.msgpack.Decoder(REQUESTS)
_reply_decoder = msgspec.msgpack.Decoder(REPLIES)


class Malformed(msgspec.Struct, frozen=True):
    """The result of decoding bytes that are not a valid message."""

    detail: str


def encode(message):
    """Return `message` encoded as MessagePack."""
    return _encoder.encode(message)


def _decode(decoder, body):
    if len(body) > MESSAGE_MAX_BYTES:
        return Malformed(f"{len(body)} bytes are over the limit")
    try:
        return decoder.decode(body)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        return Malformed(str(error))
    except RecursionError:
        return Malformed("nested too deeply")


def decode_request(body):
    """Return the request in `body`, or `Malformed`."""
    return _decode(_request_decoder, body)


def decode_reply(body):
    """Return the reply in `body`, or `Malformed`."""
    return _decode(_reply_decoder, body)
