"""The record of a case: one line of JSON for everything that was sent, answered and run."""

from __future__ import annotations

import json
import time
from pathlib import Path
from typing import Any


class Record:
    """Writes ``record.txt``.

    Args:
        path: The file to write.
    """

    def __init__(self, path: Path) -> None:
        self.file = path.open("w", encoding="utf-8")
        self.started_at = time.time()

    def __call__(self, who: str, what: str, **fields: Any) -> None:
        """Write one event; ``at`` is in seconds since the start of the case."""
        line = {"at": round(time.time() - self.started_at, 4), "who": who, "what": what, **fields}
        self.file.write(json.dumps(line) + "\n")
        self.file.flush()

    def close(self) -> None:
        """Close the file."""
        self.file.close()
