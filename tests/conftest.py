"""Configuration of all tests: scenario steps and the hypothesis profile."""

import hypothesis

pytest_plugins = ["bench.scenarios.steps", "tests.known_red"]

hypothesis.settings.register_profile(
    "ci",
    deadline=None,
    derandomize=True,
    suppress_health_check=list(hypothesis.HealthCheck),
)
hypothesis.settings.load_profile("ci")
