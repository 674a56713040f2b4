"""Renders the burn report as a self-contained HTML page with bars."""

import html

from comfreywind.report.burn_report import BurnReport, ServiceBurn

BAR_WIDTH_PX = 240
BAR_HEIGHT_PX = 14
LOW_BUDGET_RATIO = 0.25
STYLE = """
body { font: 15px/1.5 system-ui, sans-serif; margin: 2rem auto; max-width: 68rem; color: #222 }
table { border-collapse: collapse; width: 100% }
th, td { text-align: left; padding: .35rem .8rem .35rem 0; border-bottom: 1px solid #ddd }
td.number, th.number { text-align: right; font-variant-numeric: tabular-nums }
.firing { color: #a3180d; font-weight: 600 }
"""
HEADINGS = ('queue', 'team', 'objective', 'requests', 'error budget left', 'spent by', 'alerts')


def format_burn_html(report: BurnReport) -> str:
    """Return the page, which loads no external resources."""
    heading_cells = ''.join(f'<th>{heading}</th>' for heading in HEADINGS)
    rows = '\n'.join(_format_row(service) for service in report.services)
    return (
        '<!doctype html><html lang="en"><meta charset="utf-8">'
        f'<title>Service-level burn</title><style>{STYLE}</style>'
        f'<h1>Service-level burn</h1><p>{report.at:%Y-%m-%d %H:%M:%S} UTC, budget over 30 days</p>'
        f'<table><tr>{heading_cells}</tr>\n{rows}\n</table></html>\n'
    )


def _format_row(service: ServiceBurn) -> str:
    firing = [window.name for window in service.windows if window.firing]
    alerts = '; '.join(firing) or 'none'
    alert_class = ' class="firing"' if firing else ''
    causes = ', '.join(f'{cause} {count}' for cause, count in service.bad_by_cause.items())
    cells = (
        f'<td>{html.escape(service.queue)}</td><td>{html.escape(service.team)}</td>'
        f'<td class="number">{service.success_ratio:.3%}</td>'
        f'<td class="number">{service.requests_count}</td>'
        f'<td>{_format_budget_bar(service.budget_left_ratio)}</td>'
        f'<td>{html.escape(causes) or "-"}</td><td{alert_class}>{html.escape(alerts)}</td>'
    )
    return f'<tr>{cells}</tr>'


def _format_budget_bar(remaining_ratio: float) -> str:
    """Return an SVG bar of the remaining error budget, followed by its percentage."""
    clamped_ratio = min(1, max(0, remaining_ratio))
    colour = '#2b7a3d' if clamped_ratio > LOW_BUDGET_RATIO else '#a3180d'
    return (
        f'<svg width="{BAR_WIDTH_PX}" height="{BAR_HEIGHT_PX}" role="img" '
        f'aria-label="{remaining_ratio:.1%} left">'
        f'<rect width="{BAR_WIDTH_PX}" height="{BAR_HEIGHT_PX}" fill="#e6e6e6"/>'
        f'<rect width="{BAR_WIDTH_PX * clamped_ratio:.0f}" height="{BAR_HEIGHT_PX}" '
        f'fill="{colour}"/></svg> {remaining_ratio:.1%}'
    )
