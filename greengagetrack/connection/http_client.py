"""The common configuration of HTTP clients."""

import httpx

MAX_CONNECTIONS = 256
MAX_IDLE_CONNECTIONS = 64


def new_http_client(url):
    """Return a client for `url`.

    Certificates are loaded only for an `https` URL: loading them takes
    longer than the rest of the start of a process.
    """
    limits = httpx.Limits(
        max_connections=MAX_CONNECTIONS,
        max_keepalive_connections=MAX_IDLE_CONNECTIONS,
    )
    is_secure = url.startswith("https:")
    return httpx.AsyncClient(limits=limits, trust_env=False, verify=is_secure)
