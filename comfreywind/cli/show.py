"""`comfreywind show`: shows what is in force on an entry."""

import json
from typing import Any

import click

from comfreywind.cli.operator_client import call_operator
from comfreywind.cli.options import report_options
from comfreywind.cli.text_table import format_table
from comfreywind.environment import Environment

SUBJECTS = ('status', 'pools', 'vms', 'teams')
POOL_HEADINGS = (
    'pool',
    'vms',
    'available',
    'required',
    'tolerated',
    'margin',
    'stops',
    'borrowed',
    'wave',
    'due',
    'held by',
    'cause',
)
VM_HEADINGS = ('vm', 'pool', 'state', 'home', 'moves to', 'rack', 'data centre', 'listed')


@click.command(name='show')
@click.argument('subject', type=click.Choice(SUBJECTS))
@report_options
@click.pass_obj
def show_command(
    env: Environment, subject: str, output_format: str, entry_address: str, token: str
) -> None:
    """Show status, pools, VMs or teams as an entry knows them."""
    reply = call_operator(entry_address, token, 'GET', f'/v1/{subject}')
    if output_format == 'text' and subject == 'pools':
        rows = [_make_pool_cells(pool) for pool in reply['pools']]
        env.print_line(format_table(POOL_HEADINGS, rows))
    elif output_format == 'text' and subject == 'vms':
        rows = [_make_vm_cells(vm) for vm in reply['vms']]
        env.print_line(format_table(VM_HEADINGS, rows))
    else:
        env.print_line(json.dumps(reply, indent=2))


def _make_pool_cells(pool: dict[str, Any]) -> list[object]:
    wave = pool.get('wave', {})
    name = f'{pool["name"]} (spare)' if pool['spare'] else pool['name']
    figures = [pool.get(figure) for figure in ('size', 'available', 'required', 'tolerated')]
    return [
        name,
        *figures,
        pool.get('margin'),
        len(pool.get('stops', ())),
        len(pool.get('borrowed', ())),
        wave.get('state'),
        wave.get('due'),
        pool['held_by'],
        wave.get('cause'),
    ]


def _make_vm_cells(vm: dict[str, Any]) -> list[object]:
    fields = ('name', 'pool', 'state', 'home_pool', 'move_to', 'rack', 'data_centre', 'listed')
    return [vm[field] for field in fields]
