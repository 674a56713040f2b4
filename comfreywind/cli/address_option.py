"""Addresses on the command line."""

import click

from comfreywind.settings.address import Address, parse_address


def read_address(text: str, option: str) -> Address:
    """Return the address; raise click.BadParameter that names the option when it is none."""
    try:
        return parse_address(text)
    except ValueError as error:
        raise click.BadParameter(str(error), param_hint=option) from error
