"""The platform's header fields, paths, keys and values."""

REQUEST_ID = b"X-Request-Id"
DEADLINE_MS = b"X-Deadline-Ms"
PROMPT_PREFIX = b"X-Prompt-Prefix"
TOKEN_COUNTS = b"X-Token-Counts"
LAST_EVENT_ID = b"Last-Event-Id"
RESUMES = b"Resumes"
SEAL = b"X-Engine-Seal"
TENANT = b"X-Tenant"
EXPECT_INSTANCE = b"X-Expect-Instance"
EXPECT_VERSION = b"X-Expect-Version"
NOT_RUN = b"X-Not-Run"
REQUEST_PRIORITY = b"X-Request-Priority"
PIECES = b"X-Pieces"
PIECE_KEY = b"X-Piece-Key"
INPUTS = b"X-Inputs"
API_KEY = b"Api-Key"
SERVER_LEAVING = b"Server-Leaving"
SERVER_LIMIT = b"Server-Limit"
STORE_ERA = b"Store-Era"
RETRY_AFTER = b"Retry-After"
ENGINE_LOAD = b"X-Engine-Load"
COLD_MS = b"X-Cold-Ms"

# Not forwarded from callers: fields that only this system may set, or
# whose values it replaces.
NOT_FORWARDED = frozenset(
    name.lower()
    for name in (
        API_KEY,
        TENANT,
        DEADLINE_MS,
        EXPECT_INSTANCE,
        REQUEST_PRIORITY,
        INPUTS,
        b"X-Hold",
        b"X-Pin-Ms",
        b"X-Kv-Backup",
        b"Kv-From",
        b"Kv-Fetch",
    )
)

# What servers run and what callers get must not depend on fields that a
# sender names in Connection.
ALWAYS_FORWARDED = frozenset(
    name.lower()
    for name in (
        REQUEST_ID,
        PROMPT_PREFIX,
        TOKEN_COUNTS,
        LAST_EVENT_ID,
        RESUMES,
        PIECES,
        PIECE_KEY,
        b"X-Model",
    )
)
ALWAYS_RETURNED = frozenset(name.lower() for name in (REQUEST_ID, SEAL))

READY_PATH = b"/api/readyz"
REPORT_PATH = b"/api/report"
STAGE_RUN_PATH = b"/api/stage-run"
STAGE_FREE_PATH = b"/api/stage-free"

RANGE_PATH = "/api/kv-range"
WATCH_PATH = "/api/kv-watch"
SERVERS_PREFIX = "servers/"
CONFIG_KEY = "op/config"
EVACUATION_PREFIX = "op/evacuate/"

# The status of a request that expects another engine, or other weights.
MISDIRECTED_STATUS = 421
# Each of these tells a caller that its request did not run.
NOT_RUN_STATUSES = frozenset((408, MISDIRECTED_STATUS, 429, 503))

READY = "ready"
DRAINING = "draining"
EVENT_STREAM = b"text/event-stream"
