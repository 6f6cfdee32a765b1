"""The burn report as one self-contained HTML page with plots by matplotlib."""

import base64
import datetime
import html
import io
from collections.abc import Sequence

from zinniaspoke import burn, errors, levels

PLOT_WINDOW_MINUTES = 6 * 60
FAST_BURN_RATE = 14.4
SLOW_BURN_RATE = 1.0
_STYLE = """
body { font: 15px/1.45 system-ui, sans-serif; margin: 2em auto; max-width: 62em; color: #222; }
table { border-collapse: collapse; width: 100%; margin: 1em 0 2em; }
th, td { padding: .35em .7em; text-align: right; border-bottom: 1px solid #ddd; }
th:first-child, td:first-child, th:nth-child(2), td:nth-child(2) { text-align: left; }
.fast { background: #f8c9c4; } .slow { background: #fdeec2; } .calm { background: #dff2e0; }
img { width: 100%; }
"""


def render(
    burns: Sequence[burn.Burn],
    minutes: dict[str, list[levels.Minute]],
    objectives: Sequence[burn.Objective],
    now_minute: int,
) -> str:
    """Renders the page.

    Args:
        burns: The burn of every objective.
        minutes: Merged minutes by service.
        objectives: The objectives.
        now_minute: Minutes since 1970.

    Returns:
        The page's HTML; images are within it.

    Raises:
        errors.Error: matplotlib is not installed.
    """
    made = datetime.datetime.fromtimestamp(now_minute * levels.MINUTE_S, datetime.UTC)
    parts = [
        "<!doctype html><html lang='en'><head><meta charset='utf-8'>",
        f"<title>Service-level burn</title><style>{_STYLE}</style></head><body>",
        f"<h1>Service-level burn</h1><p>{made:%Y-%m-%d %H:%M} UTC. A burn rate of 1 uses the error "
        "budget up in three days. Red burns it within hours, yellow within days.</p>",
        _table(burns),
    ]
    for objective in objectives:
        image = _plot(minutes.get(objective.service, []), objective, now_minute)
        name = html.escape(objective.service)
        parts.append(f"<h2>{name}</h2><img alt='{name}' src='data:image/png;base64,{image}'>")
    return "\n".join([*parts, "</body></html>"])


def _window_name(window_minutes: int) -> str:
    if window_minutes < 60:
        return f"{window_minutes} min"
    hours = window_minutes // 60
    return f"{hours} h" if hours < 48 else f"{hours // 24} d"


def _table(burns: Sequence[burn.Burn]) -> str:
    windows = "".join(f"<th>{_window_name(w)}</th>" for w in burn.WINDOWS_MINUTES)
    rows = [
        "<tr><th>service</th><th>promise</th><th>objective</th>"
        f"{windows}<th>budget left</th><th>events</th></tr>"
    ]
    for one in burns:
        cells = "".join(_cell(rate) for rate in one.rates)
        rows.append(
            f"<tr><td>{html.escape(one.service)}</td><td>{one.kind}</td>"
            f"<td>{one.objective:.2%}</td>{cells}"
            f"<td>{one.budget_left:.0%}</td><td>{one.event_count:,}</td></tr>"
        )
    return f"<table>{''.join(rows)}</table>"


def _cell(rate: float | None) -> str:
    if rate is None:
        return "<td>–</td>"
    kind = "fast" if rate >= FAST_BURN_RATE else "slow" if rate >= SLOW_BURN_RATE else "calm"
    return f"<td class='{kind}'>{rate:.2f}</td>"


def _plot(minutes: Sequence[levels.Minute], objective: burn.Objective, now_minute: int) -> str:
    """Draws openings, first answers and bad events of one service over the last hours."""
    try:
        from matplotlib import figure
    except ImportError as error:
        raise errors.Error(
            step="draw report",
            peer="matplotlib",
            reason="not installed; pip install 'zinniaspoke[report]'",
        ) from error
    shown = [m for m in minutes if m.minute > now_minute - PLOT_WINDOW_MINUTES]
    ago = [m.minute - now_minute for m in shown]
    drawing = figure.Figure(figsize=(11, 3.4), layout="constrained")
    left, right = drawing.subplots(1, 2)
    left.bar(ago, [m.answered for m in shown], width=1.0, color="#7aa6c2", label="answered")
    bottom = [m.answered for m in shown]
    left.bar(
        ago, [m.unanswered for m in shown], width=1.0, bottom=bottom, color="#c0392b",
        label="unanswered",
    )  # fmt: skip
    left.set_title("openings a minute", loc="right")
    late = [burn.tally("first answer", [m], objective, 0) for m in shown]
    shares = [t.bad / (t.good + t.bad) if t.good + t.bad else 0.0 for t in late]
    right.plot(
        ago, shares, drawstyle="steps-mid", color="#d68910",
        label=f"first answer beyond {objective.first_answer_s:g} s",
    )  # fmt: skip
    broken = [m.broken / m.ended if m.ended else 0.0 for m in shown]
    right.plot(ago, broken, drawstyle="steps-mid", color="#c0392b", label="flows broken")
    right.axhline(1.0 - objective.first_answer_share, color="#999", linewidth=0.8, linestyle="--")
    right.set_title("share beyond the objective", loc="right")
    right.set_ylim(bottom=0.0)
    for axes in (left, right):
        axes.set_xlabel("minutes ago")
        axes.set_xlim(min([*ago, -30]) - 1, 1)
        axes.legend(loc="lower left", bbox_to_anchor=(0.0, 0.98), ncols=2, frameon=False)
        axes.spines[["top", "right"]].set_visible(False)
    buffer = io.BytesIO()
    drawing.savefig(buffer, format="png", dpi=110)
    return base64.b64encode(buffer.getvalue()).decode()
