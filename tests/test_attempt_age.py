"""Tests of the estimator of attempt ages."""

from __future__ import annotations

import pytest

from saltcart.decision.attempt_age import AttemptAgeEstimator


def test_remembered_timeouts_are_bounded_and_old_ones_are_forgotten() -> None:
    estimator = AttemptAgeEstimator(4.0)
    for n in range(3000):
        estimator.estimate_age(4.0 * (n * 0.618 % 1))
    assert len(estimator.counts) <= 260 and len(estimator.first_attempt_buckets) <= 10
    for _ in range(600):
        first_age = estimator.estimate_age(2.5)
    assert first_age < 0.02 and estimator.estimate_age(2.0) == pytest.approx(0.5, abs=0.02)
