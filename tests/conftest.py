"""Makes hypothesis deterministic, and supplies the fixtures that several modules use.

Examples depend on the test only, and none fails by a time limit.
"""

from __future__ import annotations

import socket
from collections.abc import Iterator
from pathlib import Path

import pytest
from hypothesis import settings

from tests.standins import Platform

settings.register_profile("deterministic", derandomize=True, deadline=None, database=None)
settings.load_profile("deterministic")


@pytest.fixture
def shared_platform(tmp_path: Path) -> Iterator[Platform]:
    """What the platform gives all processes of one instance."""
    with socket.create_server(("127.0.0.1", 0)) as listening_socket:
        yield Platform(listening_socket, tmp_path)
