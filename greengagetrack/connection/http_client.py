"""Makes HTTP clients with what all of them have in common."""

import httpx

MAX_CONNECTIONS = 256
MAX_KEPT = 64


def new_http_client(url):
    """Return a client for `url`.

    Certificates are loaded only where the URL needs them: loading takes
    longer than everything else in the start of a process.
    """
    limits = httpx.Limits(
        max_connections=MAX_CONNECTIONS, max_keepalive_connections=MAX_KEPT
    )
    is_secure = url.startswith("https:")
    return httpx.AsyncClient(limits=limits, trust_env=False, verify=is_secure)
