"""Makes hypothesis deterministic: examples depend on the test only, and none fails by a time limit."""

from __future__ import annotations

from hypothesis import settings

settings.register_profile("deterministic", derandomize=True, deadline=None, database=None)
settings.load_profile("deterministic")
