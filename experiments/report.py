"""HTML report with a table of the results and plots of the response time ratios."""

import base64
import html
import io
from pathlib import Path
from typing import Any

import matplotlib

matplotlib.use("Agg")
from matplotlib import pyplot  # noqa: E402

COLUMNS = (
    "scenario",
    "policy",
    "jobs",
    "complete",
    "ratio_p50",
    "ratio_p95",
    "ratio_p99",
    "response_p99_s",
    "messages_per_task",
    "failed_tasks_pct",
    "failed_jobs_pct",
    "work_of_possible_pct",
    "entry_cpu_us_per_task",
    "agent_cpu_us_per_task",
)


def write_report(rows: list[dict[str, Any]], path: Path) -> None:
    """Write a report with one table of all rows and one plot per scenario."""
    names = list(dict.fromkeys(row["scenario"] for row in rows))
    plots = [_plot(name, [row for row in rows if row["scenario"] == name]) for name in names]
    images = "\n".join(f'<img src="data:image/png;base64,{plot}" alt="">' for plot in plots)
    path.write_text(
        "<!doctype html><meta charset=utf-8><title>Measurements</title>"
        "<style>body{font-family:sans-serif}td,th{padding:2px 8px;text-align:right}</style>"
        f"<h1>Measurements</h1>{_table(rows)}{images}"
    )


def _table(rows: list[dict[str, Any]]) -> str:
    header = "".join(f"<th>{html.escape(name)}</th>" for name in COLUMNS)
    lines = [f"<tr>{''.join(f'<td>{_cell(row[name])}</td>' for name in COLUMNS)}" for row in rows]
    return f"<table><tr>{header}{''.join(lines)}</table>"


def _cell(value: object) -> str:
    return f"{value:.3g}" if isinstance(value, float) else html.escape(str(value))


def _plot(name: str, rows: list[dict[str, Any]]) -> str:
    figure, axes = pyplot.subplots(figsize=(6, 3.2))
    for row in rows:
        ratios = row["ratios"]
        fractions = [(index + 1) / len(ratios) for index in range(len(ratios))]
        axes.step(ratios, fractions, where="post", label=row["policy"])
    axes.set_title(name)
    axes.set_xlabel("response time / ideal")
    axes.set_ylabel("share of jobs")
    axes.set_xscale("log")
    axes.legend(fontsize=7)
    figure.tight_layout()
    buffer = io.BytesIO()
    figure.savefig(buffer, format="png", dpi=90)
    pyplot.close(figure)
    return base64.b64encode(buffer.getvalue()).decode()
