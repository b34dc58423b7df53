"""What all tests share: the steps of scenarios and hypothesis profiles."""

import hypothesis

pytest_plugins = ["bench.scenarios.steps"]

hypothesis.settings.register_profile(
    "ci",
    deadline=None,
    derandomize=True,
    suppress_health_check=list(hypothesis.HealthCheck),
)
hypothesis.settings.load_profile("ci")
