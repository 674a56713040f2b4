"""`comfreywind report`: reports for operators."""

import json
from pathlib import Path

import click

from comfreywind.cli.operator_client import call_operator
from comfreywind.cli.options import operator_options
from comfreywind.environment import Environment
from comfreywind.report.burn_codec import decode_burn_report, encode_burn_report
from comfreywind.report.burn_html import format_burn_html
from comfreywind.report.burn_report import BurnReport
from comfreywind.report.burn_text import format_burn_text


def format_burn_json(report: BurnReport) -> str:
    """Return the report as indented JSON."""
    return json.dumps(encode_burn_report(report), indent=2)


BURN_FORMATS = {'text': format_burn_text, 'json': format_burn_json, 'html': format_burn_html}


@click.group(name='report')
def report_group() -> None:
    """Make reports."""


@report_group.command(name='burn')
@click.option('--format', 'format_name', type=click.Choice(sorted(BURN_FORMATS)), default='text')
@click.option('--output', type=click.Path(path_type=Path, dir_okay=False), help='File to write.')
@operator_options
@click.pass_obj
def burn_command(
    env: Environment, format_name: str, output: Path | None, entry_address: str, token: str
) -> None:
    """Show how much of each service's error budget is spent, and by what."""
    document = call_operator(entry_address, token, 'GET', '/v1/report/burn')
    text = BURN_FORMATS[format_name](decode_burn_report(document))
    if output is None:
        env.print_line(text)
        return
    output.write_text(text, encoding='utf-8')
    env.print_line(f'{output}: written')
