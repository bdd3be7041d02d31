"""Fixed seeds for property tests, so that each run gives the same verdict."""

from hypothesis import HealthCheck, settings

settings.register_profile(
    "ci", derandomize=True, deadline=None, database=None, suppress_health_check=list(HealthCheck)
)
settings.load_profile("ci")
