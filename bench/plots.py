"""Plot of the attainment that a bench run measures."""

from pathlib import Path
from typing import Any

from matplotlib import pyplot


def plot_attainment(
    figures: dict[str, list[dict[str, Any]]],
    path: Path,
) -> None:
    """Plot the mean attainment of each scenario and policy as bars.

    :param figures: figures of each run, by ``scenario/policy``.
    """
    names = list(figures)
    means = [
        sum(run['attainment'] for run in figures[name]) / len(figures[name])
        for name in names
    ]
    figure, axes = pyplot.subplots(figsize=(8, 0.4 * len(names) + 1))
    axes.barh(names, means)
    axes.invert_yaxis()
    axes.set_xlim(0, 1)
    axes.set_xlabel('attainment')
    figure.tight_layout()
    figure.savefig(path)
    pyplot.close(figure)
