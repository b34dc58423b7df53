"""The common configuration of HTTP clients in agent mode."""

import httpx

MAX_CONNECTIONS = 256


def new_http_client(url):
    """Return a client for `url`.

    Each request has a connection of its own: answers name no request, so a
    late one on a connection that is kept would be taken for the next.

    Certificates are loaded only for an `https` URL: loading them takes
    longer than the rest of the start of a process.
    """
    limits = httpx.Limits(
        max_connections=MAX_CONNECTIONS, max_keepalive_connections=0
    )
    is_secure = url.startswith("https:")
    return httpx.AsyncClient(limits=limits, trust_env=False, verify=is_secure)
