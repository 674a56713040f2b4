"""`comfreywind show`: shows what is in force on an entry."""

import json

import click

from comfreywind.cli.operator_client import call_operator
from comfreywind.cli.options import operator_options
from comfreywind.environment import Environment


SUBJECTS = ('status', 'pools', 'vms', 'teams')


@click.command(name='show')
@click.argument('subject', type=click.Choice(SUBJECTS))
@operator_options
@click.pass_obj
def show_command(env: Environment, subject: str, entry_address: str, token: str) -> None:
    """Show status, pools, VMs or teams as an entry knows them."""
    reply = call_operator(entry_address, token, 'GET', f'/v1/{subject}')
    env.print_line(json.dumps(reply, indent=2))
