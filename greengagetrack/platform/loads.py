"""Reading what an engine tells of its load."""

from greengagetrack.connection import gateway
from greengagetrack.connection.http import numbers

FIGURE_MAX = 1_000_000
FIGURE_COUNTS = (3, 4)
PERCENT = 100


def read_load(text):
    """Return the `ServerLoad` in a value of the header, None without one.

    The fourth figure, the pace in percent, is not told by all engines::

        assert read_load("3,1,8").waiting == 1
        assert read_load("3,1,8,250").pace == 2.5
        assert read_load("3,1") is None
    """
    figures = [
        numbers.read_count(figure.strip(), FIGURE_MAX)
        for figure in text.split(",")
    ]
    if len(figures) not in FIGURE_COUNTS or None in figures:
        return None
    running, waiting, slots, *paces = figures
    pace = paces[0] / PERCENT if paces else 1.0
    return gateway.ServerLoad(running, waiting, slots, pace)
