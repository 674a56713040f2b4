"""`comfreywind explain`: prints the decisions about a subject."""

import json
from typing import Any
from urllib.parse import quote

import click

from comfreywind.cli.operator_client import call_operator
from comfreywind.cli.options import report_options
from comfreywind.environment import Environment

KINDS = ('vm', 'request', 'team', 'pool')


@click.command(name='explain')
@click.argument('kind', type=click.Choice(KINDS))
@click.argument('name')
@report_options
@click.pass_obj
def explain_command(
    env: Environment, kind: str, name: str, output_format: str, entry_address: str, token: str
) -> None:
    """Print what was decided about a VM, request, team or pool, when and why."""
    path = f'/v1/explain/{kind}/{quote(name, safe="")}'
    explanation = call_operator(entry_address, token, 'GET', path)
    if output_format == 'json':
        env.print_line(json.dumps(explanation, indent=2))
        return
    for line in format_explanation(explanation):
        env.print_line(line)


def format_explanation(explanation: dict[str, Any]) -> list[str]:
    """Return the lines of an explanation: state, then time, decision, cause and inputs."""
    lines = [explanation['subject']]
    if explanation['state']:
        lines.append(f'  now: {_format_inputs(explanation["state"])}')
    for record in explanation['records']:
        lines.append(f'  {record["at"]}  {record["entry"]}  {_format_decision(record)}')
        if record['inputs']:
            lines.append(f'      {_format_inputs(record["inputs"])}')
    if not explanation['records']:
        lines.append('  no decision about it is known')
    if not explanation['complete']:
        lines.append('  incomplete: a peer or the object store did not answer')
    return lines


def _format_decision(record: dict[str, Any]) -> str:
    return f'{record["kind"]}: {record["cause"]}'


def _format_inputs(inputs: dict[str, Any]) -> str:
    return ', '.join(f'{name} {_format_input(given)}' for name, given in inputs.items())


def _format_input(given: object) -> str:
    if isinstance(given, str):
        return given or '-'
    return json.dumps(given)
