"""The README's Python examples run unchanged."""

from __future__ import annotations

import re
from pathlib import Path


def test_the_python_examples_run() -> None:
    text = (Path(__file__).resolve().parent.parent / "README.md").read_text()
    blocks = re.findall(r"```python\n(.*?)```", text, flags=re.DOTALL)
    assert blocks
    for block in blocks:
        exec(compile(block, "README.md", "exec"), {})
