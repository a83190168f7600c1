"""Output of the experiments: a table, one JSON object on the last line, and plots."""

from __future__ import annotations

from collections.abc import Sequence
from pathlib import Path
from typing import Any

import orjson


def format_table(rows: Sequence[Sequence[str]]) -> str:
    """Return rows of equal length as lines; the first column is left-aligned, the others right-aligned."""
    widths = [max(len(row[column]) for row in rows) for column in range(len(rows[0]))]
    return "\n".join(
        "  ".join(
            cell.ljust(width) if column == 0 else cell.rjust(width)
            for column, (cell, width) in enumerate(zip(row, widths))
        ).rstrip()
        for row in rows
    )


def format_figures(figures: dict[str, Any]) -> str:
    """Return figures as a JSON object on one line."""
    return orjson.dumps(figures).decode()


def plot_lines(path: Path, panels: dict[str, dict[str, Sequence[float]]], y_label: str) -> None:
    """Write a plot with a panel for each scenario.

    Args:
        path: The file to write; its suffix decides the format.
        panels: The values of each second, by the title of the panel and the label of the line.
        y_label: Label of the vertical axis.
    """
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    column_count = 3
    row_count = -(-len(panels) // column_count)
    figure, axes = pyplot.subplots(
        row_count, column_count, figsize=(5 * column_count, 3 * row_count), squeeze=False, sharey=True
    )
    for panel, (title, lines) in zip(axes.flat, panels.items()):
        for label, values in lines.items():
            panel.plot(range(len(values)), values, label=label, linewidth=1)
        panel.set_title(title)
        panel.set_xlabel("second")
    axes.flat[0].set_ylabel(y_label)
    axes.flat[0].legend()
    figure.tight_layout()
    figure.savefig(path)
    pyplot.close(figure)
