"""`comfreywind bundle`: checks, creates, signs off and rolls out bundle versions."""

from pathlib import Path
from typing import Any

import click

from comfreywind.bundle.parse import parse_bundle
from comfreywind.cli.operator_client import call_operator, describe_confirmations
from comfreywind.cli.options import operator_options
from comfreywind.environment import Environment
from comfreywind.errors import BundleError
from comfreywind.settings.loader import load_yaml

bundle_file = click.argument('bundle_path', type=click.Path(path_type=Path, dir_okay=False))
version_argument = click.argument('version', type=click.IntRange(min=1))
branch_option = click.option(
    '--branch',
    'branch_paths',
    type=click.Path(path_type=Path, dir_okay=False),
    multiple=True,
    help='Overlay file of a branch; the file name without its ending is the name of the branch.',
)


@click.group(name='bundle')
def bundle_group() -> None:
    """Check, create, sign off and roll out bundle versions."""


@bundle_group.command(name='check')
@bundle_file
@branch_option
@click.pass_obj
def check_bundle(env: Environment, bundle_path: Path, branch_paths: tuple[Path, ...]) -> None:
    """Check a bundle file, with the overlay files of branches, without sending it."""
    load_bundle(bundle_path, branch_paths)
    env.print_line(f'{bundle_path}: valid bundle')


@bundle_group.command(name='create')
@version_argument
@bundle_file
@branch_option
@operator_options
@click.pass_obj
def create_bundle(
    env: Environment,
    version: int,
    bundle_path: Path,
    branch_paths: tuple[Path, ...],
    entry_address: str,
    token: str,
) -> None:
    """Create a version from a bundle file and the overlay files of branches."""
    document = load_bundle(bundle_path, branch_paths)
    body = {'version': version, 'bundle': document}
    reply = call_operator(entry_address, token, 'POST', '/v1/bundles', body)
    env.print_line(f'version {version} created, digest {reply["digest"]}')


@bundle_group.command(name='sign-off')
@version_argument
@operator_options
@click.pass_obj
def sign_off_bundle(env: Environment, version: int, entry_address: str, token: str) -> None:
    """Sign off a created version."""
    call_operator(entry_address, token, 'POST', f'/v1/bundles/{version}/sign-off')
    env.print_line(f'version {version} signed off')


@bundle_group.command(name='roll-out')
@version_argument
@operator_options
@click.pass_obj
def roll_out_bundle(env: Environment, version: int, entry_address: str, token: str) -> None:
    """Put a signed-off version into force."""
    reply = call_operator(entry_address, token, 'POST', f'/v1/bundles/{version}/roll-out')
    env.print_line(f'version {version} accepted; {describe_confirmations(reply)}')


def load_bundle(bundle_path: Path, branch_paths: tuple[Path, ...]) -> dict[str, Any]:
    """Return the document of a bundle with its branches; raise BundleError for a bad one."""
    document = load_yaml(bundle_path, BundleError)
    if not isinstance(document, dict):
        raise BundleError(f'{bundle_path}: not a mapping')
    overlays = {path.stem: load_yaml(path, BundleError) for path in branch_paths}
    if overlays:
        document = {**document, 'branches': {**document.get('branches', {}), **overlays}}
    parse_bundle(document, str(bundle_path))
    return document
