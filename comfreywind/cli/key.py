"""`comfreywind key`: grants and withdraws keys of teams."""

import click

from comfreywind.cli.operator_client import call_operator, describe_confirmations
from comfreywind.cli.options import operator_options
from comfreywind.environment import Environment


@click.group(name='key')
def key_group() -> None:
    """Grant and withdraw keys of teams."""


@key_group.command(name='grant')
@click.argument('team')
@operator_options
@click.pass_obj
def grant_key(env: Environment, team: str, entry_address: str, token: str) -> None:
    """Grant a new key to a team and print it; it is shown only once."""
    reply = call_operator(entry_address, token, 'POST', '/v1/keys', {'team': team})
    env.print_line(reply['key'])


@key_group.command(name='withdraw')
@click.argument('key_id')
@operator_options
@click.pass_obj
def withdraw_key(env: Environment, key_id: str, entry_address: str, token: str) -> None:
    """Withdraw a key."""
    reply = call_operator(entry_address, token, 'DELETE', f'/v1/keys/{key_id}')
    env.print_line(f'key {key_id} withdrawn; {describe_confirmations(reply)}')
