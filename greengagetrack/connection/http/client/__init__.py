"""An HTTP/1.1 client with a pool of persistent connections.

A call is one request and its response on one connection::

    call = await pool.open_call(address, head, body)
    if not isinstance(call, call_module.Call):
        return  # `NotSent` or `ResponseFailure`
    try:
        head = await call.receive_head(is_expected)
        part = await call.receive_part()  # until it is None
    finally:
        call.finish()

A call that is finished before its response is complete closes its
connection, which makes the server cancel the work.
"""
