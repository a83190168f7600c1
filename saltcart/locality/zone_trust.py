"""Trust between zones: it falls at once on significant evidence of a failure and recovers slowly.

Recovery starts after a wait and proceeds in steps.  The wait is longer after each recent fall.  It begins
with the first evidence of health and ends only when health is proven, however long the few outcomes of a
small zone take for that.  It keeps requests that are served well elsewhere from swinging back and forth.
Requests that are served nowhere have nothing to lose by a trial, so the wait is shorter while requests are
rejected.
"""

from __future__ import annotations

import msgspec

from saltcart.locality.evidence import PROVEN_LOG_ODDS, RECOVERY_START_LOG_ODDS
from saltcart.locality.settings import LocalitySettings

WHOLE_SHARE = 1000  # thousandths; whole numbers, so that all instances compute equal shares
FALL_THRESHOLD = 100  # thousandths; a smaller decrease is attributed to random variation
NEARLY_WHOLE_SHARE = WHOLE_SHARE - FALL_THRESHOLD // 2  # counts as full trust
SAME_FALL_SECONDS = 10.0  # decreases within this time of the last one count as the same fall
REJECTING_WAIT_SHARE = 1 / 3  # of the recovery wait that remains while requests are rejected
FORGET_FACTOR = 4.0  # times the recovery wait, in full trust, after which falls are forgotten
MAX_DOUBLINGS = 16  # of the recovery wait


class ZoneTrust(msgspec.Struct, array_like=True, frozen=True):
    """Trust of one zone in another, where it is less than full or was so recently.

    The order of the fields is the wire format.

    Attributes:
        origin: Number of the zone that sends requests.
        target: Number of the zone that would serve them; the origin itself for its trust in itself.
        share: Trust in thousandths.
        recent_falls: Number of falls that are not forgotten.
        next_step_at: Unix time in seconds of the next recovery step if health lasts until then, or at which
            the falls are forgotten; 0 while the target is no better than its trust.
        health_level: Available share of the target's capacity, in thousandths, when the wait began.
        fell_at: Unix time in seconds of the last decrease.
    """

    origin: int
    target: int
    share: int = WHOLE_SHARE
    recent_falls: int = 0
    next_step_at: float = 0.0
    health_level: int = WHOLE_SHARE
    fell_at: float = 0.0

    def without_next_step(self, share: int) -> ZoneTrust:
        """Return trust of this share without a scheduled recovery step."""
        return ZoneTrust(self.origin, self.target, share, self.recent_falls, fell_at=self.fell_at)

    def with_next_step(self, share: int, next_step_at: float, health_level: int) -> ZoneTrust:
        """Return trust of this share with its next step scheduled."""
        return ZoneTrust(
            self.origin,
            self.target,
            share,
            self.recent_falls,
            round(next_step_at, 1),
            health_level,
            self.fell_at,
        )


def next_trust(
    settings: LocalitySettings,
    previous: ZoneTrust,
    capacity_share: float,
    now: float,
    log_odds: float = PROVEN_LOG_ODDS,
    is_rejecting: bool = False,
) -> ZoneTrust:
    """Return the trust that follows from the present observations.

    Args:
        settings: Settings of zone-aware routing.
        previous: Trust by the plan in use.
        capacity_share: Available share of the target's capacity.
        now: Unix time in seconds.
        log_odds: Sequential test of the target's health.
        is_rejecting: Whether requests are rejected for lack of capacity.
    """
    available = round(capacity_share * WHOLE_SHARE)
    if available <= FALL_THRESHOLD:
        available = 0  # a zone with almost no capacity gets no requests that would only confirm this
    if available < previous.share - FALL_THRESHOLD or available == 0 < previous.share:
        return _trust_after_fall(previous, available, now)
    wait = _recovery_wait(settings, previous.recent_falls)
    if previous.share >= NEARLY_WHOLE_SHARE:
        return _full_trust(previous, now, FORGET_FACTOR * wait)
    if available <= previous.share + FALL_THRESHOLD // 2:
        return previous.without_next_step(previous.share)
    is_interrupted = available < previous.health_level - FALL_THRESHOLD or log_odds < RECOVERY_START_LOG_ODDS
    if previous.next_step_at == 0 or is_interrupted:  # a flapping zone never gets beyond this
        return previous.with_next_step(previous.share, now + wait, available)
    shortened = wait * (1 - REJECTING_WAIT_SHARE) if is_rejecting and previous.share == 0 else 0.0
    if now < previous.next_step_at - shortened or log_odds < PROVEN_LOG_ODDS:
        return previous
    share = min(available, previous.share + round(settings.step * WHOLE_SHARE))
    if share >= NEARLY_WHOLE_SHARE:
        return previous.without_next_step(WHOLE_SHARE)
    return previous.with_next_step(share, now + settings.step_every, previous.health_level)


def _trust_after_fall(previous: ZoneTrust, share: int, now: float) -> ZoneTrust:
    is_new_fall = now - previous.fell_at > SAME_FALL_SECONDS
    falls = previous.recent_falls + is_new_fall
    return ZoneTrust(previous.origin, previous.target, share, falls, fell_at=round(now, 1))


def _recovery_wait(settings: LocalitySettings, falls: int) -> float:
    doublings = min(MAX_DOUBLINGS, max(0, falls - 1))
    wait: float = settings.recover_for * 2**doublings
    return min(settings.recover_most, wait)


def _full_trust(previous: ZoneTrust, now: float, forget_after: float) -> ZoneTrust:
    """Return full trust, and forget the falls after ``forget_after`` seconds of it."""
    is_due = previous.next_step_at != 0 and now >= previous.next_step_at
    if previous.recent_falls == 0 or is_due:
        return ZoneTrust(previous.origin, previous.target)
    if previous.next_step_at == 0:
        return previous.with_next_step(WHOLE_SHARE, now + forget_after, WHOLE_SHARE)
    return previous
