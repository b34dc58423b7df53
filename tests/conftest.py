"""Configuration of all tests: steps, hypothesis and contained errors."""

import logging

import hypothesis
import pytest

from greengagetrack.connection import contained_error

pytest_plugins = ["bench.scenarios.steps", "tests.known_red"]

hypothesis.settings.register_profile(
    "ci",
    deadline=None,
    derandomize=True,
    suppress_health_check=list(hypothesis.HealthCheck),
)
hypothesis.settings.load_profile("ci")


class _ContainedErrors(logging.Handler):
    """Keeps the records of errors that the code under test contained."""

    def __init__(self):
        super().__init__()
        self.traces = []

    def emit(self, record):
        self.traces.append(logging.Formatter().format(record))


@pytest.fixture(autouse=True)
def no_contained_error(request):
    """Fail a test in which an error was contained that none foresaw.

    The mark `contains_error` is for tests of the containment itself.
    """
    logger = logging.getLogger(contained_error.__name__)
    handler = _ContainedErrors()
    logger.addHandler(handler)
    yield
    logger.removeHandler(handler)
    has_mark = request.node.get_closest_marker("contains_error") is not None
    assert bool(handler.traces) is has_mark, "\n".join(handler.traces)
