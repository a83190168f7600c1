"""The same verdict every time: examples are drawn from each test alone, and no clock judges them."""

from __future__ import annotations

from hypothesis import settings

settings.register_profile("same", derandomize=True, deadline=None, database=None)
settings.load_profile("same")
