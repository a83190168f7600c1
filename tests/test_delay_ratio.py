"""Tests of the PI controller of the delay ratios."""

from __future__ import annotations

import pytest

from saltcart.decision.delay_ratio import DelayRatioController


def test_pi_increment_matches_the_equation_of_the_paper() -> None:
    controller = DelayRatioController([0.5])
    controller.update([0.3, 1.0])  # error 0.2
    assert controller.ratios[0] == pytest.approx(1 + 0.42 * 0.2)
    controller.update([0.6, 1.0])  # error -0.1
    assert controller.ratios[0] == pytest.approx(1.084 - 0.042 - 0.02)
    assert controller.shares[1] / controller.shares[0] == pytest.approx(controller.ratios[0])


def test_pairs_without_waits_are_skipped_and_ratios_stay_positive() -> None:
    controller = DelayRatioController([0.5, 1.0])
    controller.update([0.0, 1.0, 1.0])
    # The first pair has a class without waits, the second has no error.
    assert controller.ratios[0] == 1.0 and controller.ratios[1] == 1.0
    for _ in range(100):
        controller.update([9.0, 1.0, 1.0])
    assert 0 < controller.ratios[0] <= 1 / 50
