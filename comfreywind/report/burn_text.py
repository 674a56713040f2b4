"""Renders the burn report as text."""

from comfreywind.report.burn_report import BurnReport, ServiceBurn

COLUMNS = '{queue:<16} {team:<16} {objective:>9} {requests:>9} {left:>8}  {alerts}'


def format_burn_text(report: BurnReport) -> str:
    """Return the report as a table with the causes of bad results below each service."""
    heading = COLUMNS.format(
        queue='queue',
        team='team',
        objective='objective',
        requests='requests',
        left='budget',
        alerts='alerts',
    )
    lines = [f'service-level burn at {report.at:%Y-%m-%d %H:%M:%S} UTC', heading]
    for service in report.services:
        lines.extend(_format_service(service))
    return '\n'.join(lines)


def _format_service(service: ServiceBurn) -> list[str]:
    firing = [window.name for window in service.windows if window.firing]
    row = COLUMNS.format(
        queue=service.queue,
        team=service.team,
        objective=f'{service.success_ratio:.3%}',
        requests=service.requests_count,
        left=f'{service.budget_left_ratio:.1%}',
        alerts='; '.join(firing) or 'none',
    )
    causes = ', '.join(f'{cause} {count}' for cause, count in service.bad_by_cause.items())
    return [row, f'    spent by: {causes}'] if causes else [row]
