"""How far one zone trusts another: it falls at once, when what was seen can't be chance, and comes back late.

It comes back only after so long in unbroken and proven health, longer after each fall, and in steps.
"""

from __future__ import annotations

import msgspec

from saltcart.locality.evidence import BEGUN_LOG_ODDS, PROVEN_LOG_ODDS
from saltcart.locality.settings import LocalitySettings

WHOLE_SHARE = 1000  # shares are whole thousandths, so that all come to the same ones
FALL = 100  # thousandths less than was trusted: a fall, not chance
NEARLY_WHOLE = WHOLE_SHARE - FALL // 2  # is as good as whole
SAME_FALL_SECONDS = 10.0  # within which further falls are the same one
PRESSED_SHARE = 1 / 3  # of the wait for recovery, that is left of it while work is rejected
FORGET_FACTOR = 4.0  # times the wait for recovery, in full trust, after which a fall is forgotten
MAX_DOUBLINGS = 16  # of the wait for recovery


class ZoneTrust(msgspec.Struct, array_like=True, frozen=True):
    """How far one zone trusts another, where that is less than fully or was of late.

    Its fields go by their order on the wire.  ``share`` in thousandths; ``next_step_at``: Unix seconds of the
    next step back if health lasts until then, or at which the falls are forgotten; 0 while it is as bad as it
    is trusted to be.  ``health_level``: the health, in thousandths, that has lasted since the wait began.
    ``fell_at``: Unix seconds.
    """

    origin: int
    target: int
    share: int = WHOLE_SHARE
    recent_falls: int = 0
    next_step_at: float = 0.0
    health_level: int = WHOLE_SHARE
    fell_at: float = 0.0

    def wait_at_share(self, share: int) -> ZoneTrust:
        """Return trust of this share that waits for health to last."""
        return ZoneTrust(self.origin, self.target, share, self.recent_falls, fell_at=self.fell_at)

    def wait_until(self, share: int, next_step_at: float, health_level: int) -> ZoneTrust:
        """Return trust of this share whose next step is due then."""
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
    before: ZoneTrust,
    capacity_share: float,
    now: float,
    log_odds: float = PROVEN_LOG_ODDS,
    pressed: bool = False,
) -> ZoneTrust:
    """Return the trust that follows from what is seen now.

    ``capacity_share``: of the target's capacity, that is there.  ``log_odds``: for the target's health, of
    the sequential test.  A wait begins when something speaks for health and ends when it is proven, however
    long the few outcomes of a small zone take for that.  ``pressed``: work is rejected for want of room.  The
    wait keeps work from swinging that is served well elsewhere; what is served nowhere has nothing to lose by
    a try, so it is shorter then.
    """
    found = round(capacity_share * WHOLE_SHARE)
    if found <= FALL:
        found = 0  # what is all but gone is gone: no work is to find that out
    if found < before.share - FALL or found == 0 < before.share:
        return _fallen(before, found, now)
    wait = _recovery_wait(settings, before.recent_falls)
    if before.share >= NEARLY_WHOLE:
        return _forgetting(before, now, FORGET_FACTOR * wait)
    if found <= before.share + FALL // 2:
        return before.wait_at_share(before.share)
    is_shaken = found < before.health_level - FALL or log_odds < BEGUN_LOG_ODDS
    if before.next_step_at == 0 or is_shaken:  # never healthy for long: a flap
        return before.wait_until(before.share, now + wait, found)
    shortened = wait * (1 - PRESSED_SHARE) if pressed and before.share == 0 else 0.0
    if now < before.next_step_at - shortened or log_odds < PROVEN_LOG_ODDS:
        return before
    share = min(found, before.share + round(settings.step * WHOLE_SHARE))
    if share >= NEARLY_WHOLE:
        return before.wait_at_share(WHOLE_SHARE)
    return before.wait_until(share, now + settings.step_every, before.health_level)


def _fallen(before: ZoneTrust, share: int, now: float) -> ZoneTrust:
    is_new_fall = now - before.fell_at > SAME_FALL_SECONDS
    falls = before.recent_falls + is_new_fall
    return ZoneTrust(before.origin, before.target, share, falls, fell_at=round(now, 1))


def _recovery_wait(settings: LocalitySettings, falls: int) -> float:
    doublings = min(MAX_DOUBLINGS, max(0, falls - 1))
    wait: float = settings.recover_for * 2**doublings
    return min(settings.recover_most, wait)


def _forgetting(before: ZoneTrust, now: float, forget_after: float) -> ZoneTrust:
    """Return full trust: there is nothing to win back, but for the falls to be forgotten."""
    is_due = before.next_step_at != 0 and now >= before.next_step_at
    if before.recent_falls == 0 or is_due:
        return ZoneTrust(before.origin, before.target)
    if before.next_step_at == 0:
        return before.wait_until(WHOLE_SHARE, now + forget_after, WHOLE_SHARE)
    return before
