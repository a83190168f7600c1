"""The estimate of an attempt's age."""

from __future__ import annotations

import pytest

from saltcart.decision.attempt_age import AttemptAgeEstimator


def test_the_remembered_attempts_are_bounded_and_forgotten() -> None:
    ages = AttemptAgeEstimator(4.0)
    for n in range(3000):
        ages.estimate_age(4.0 * (n * 0.618 % 1))
    assert len(ages.counts) <= 260 and len(ages.first_attempt_buckets) <= 10
    for _ in range(600):
        first = ages.estimate_age(2.5)
    assert first < 0.02 and ages.estimate_age(2.0) == pytest.approx(0.5, abs=0.02)
