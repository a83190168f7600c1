"""The README's library example runs as it stands."""

from __future__ import annotations

import re
from pathlib import Path


def test_library_example_runs() -> None:
    text = (Path(__file__).resolve().parent.parent / "README.md").read_text()
    blocks = re.findall(r"```python\n(.*?)```", text, flags=re.DOTALL)
    assert blocks
    for block in blocks:
        exec(compile(block, "README.md", "exec"), {})
