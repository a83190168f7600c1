"""Tests of the table of idempotency keys."""

from __future__ import annotations

from saltcart.core.idempotency_keys import KeyTable


def test_expired_and_removed_keys_leave_the_table() -> None:
    table = KeyTable(99_999, read_grace=2.0)
    table.reserve(("a", "c", b"x"), 1, 10.0, b"").has_run = True
    table.remove(table.reserve(("a", "c", b"y"), 2, 10.0, b""))
    table.expire(11.9, lambda _: False)
    assert len(table) == 1
    table.expire(12.1, lambda _: False)
    assert len(table) == 0 and table.used_bytes == 0
