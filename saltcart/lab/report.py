"""What an experiment prints: a table, then one JSON object as the last line."""

from __future__ import annotations

from collections.abc import Sequence
from pathlib import Path
from typing import Any

import orjson


def table(rows: Sequence[Sequence[str]]) -> str:
    widths = [max(len(row[n]) for row in rows) for n in range(len(rows[0]))]
    return "\n".join(
        "  ".join(
            cell.ljust(w) if n == 0 else cell.rjust(w) for n, (cell, w) in enumerate(zip(row, widths))
        ).rstrip()
        for row in rows
    )


def figures(values: dict[str, Any]) -> str:
    return orjson.dumps(values).decode()


def plot_lines(path: Path, panels: dict[str, dict[str, Sequence[float]]], what: str) -> None:
    """One panel a day, one line a policy, over the seconds of the day."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    across = 3
    down = -(-len(panels) // across)
    figure, axes = pyplot.subplots(down, across, figsize=(5 * across, 3 * down), squeeze=False, sharey=True)
    for at, (name, lines) in zip(axes.flat, panels.items()):
        for label, values in lines.items():
            at.plot(range(len(values)), values, label=label, linewidth=1)
        at.set_title(name)
        at.set_xlabel("second")
    axes.flat[0].set_ylabel(what)
    axes.flat[0].legend()
    figure.tight_layout()
    figure.savefig(path)
    pyplot.close(figure)
