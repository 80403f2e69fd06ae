"""Charts and pages of reports: one HTML page that needs nothing else, with charts by matplotlib as SVG whose ink takes
the page's colour, so that they can be read light, dark and printed. Weighed: plotly and bokeh pages carry some MB of
script for what a few lines show; Vega needs a browser to draw."""

from __future__ import annotations

import io
import re
from typing import Any

import jinja2
import matplotlib

matplotlib.use("svg")
from matplotlib import pyplot  # noqa: E402

INK = "#010203"  # stands for the page's colour until the SVG is written
COLOURS = ("#3b7dd8", "#d9822b", "#2f9e62", "#b04a9c", "#8a7b1f", "#c0434a", "#4aa3b5", "#7a6cc4")


def page(template: str, **values: Any) -> str:
    """A template of this package as HTML; a value that it asks for and does not get is an error."""
    environment = jinja2.Environment(
        loader=jinja2.PackageLoader("lemonway.kit.experiment"),
        autoescape=True,
        undefined=jinja2.StrictUndefined,
        trim_blocks=True,
        lstrip_blocks=True,
    )
    return environment.get_template(template).render(**values)


def svg(figure: Any, wide: bool = True) -> str:
    """The figure as SVG text, as wide as the page or, not ``wide``, in its own size."""
    out = io.StringIO()
    figure.savefig(out, format="svg", transparent=True, bbox_inches="tight", metadata={"Date": None})
    pyplot.close(figure)
    text = out.getvalue()
    text = text[text.index("<svg") :].replace(INK, "currentColor")
    return re.sub(r'width="[\d.]+pt" height="[\d.]+pt"', 'width="100%"', text, count=1) if wide else text


def axes_of(width: float = 8.0, height: float = 3.2) -> tuple[Any, Any]:
    """A figure of this size in inches, and its axes."""
    matplotlib.rcParams.update(
        {
            "svg.fonttype": "none",
            "svg.hashsalt": "lemonway",
            "text.color": INK,
            "axes.edgecolor": INK,
            "axes.labelcolor": INK,
            "xtick.color": INK,
            "ytick.color": INK,
            "font.size": 9,
            "axes.spines.top": False,
            "axes.spines.right": False,
            "legend.frameon": False,
        }
    )
    return pyplot.subplots(figsize=(width, height))
