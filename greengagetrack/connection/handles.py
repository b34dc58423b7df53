"""The rule for handles of results, whoever tells them."""

import re

# Several go into one header field, with commas between them.
_HANDLE = re.compile(r"[!-+\--~]{1,256}")


def is_handle(text):
    """Return whether a text may be sent on as the handle of a result.

    That is up to 256 visible ASCII characters without a comma::

        assert is_handle("10.0.0.1:80/7f")
        assert not is_handle("7f,80")
    """
    return _HANDLE.fullmatch(text) is not None
