"""Reads a node's settings from the TOML file that the platform places on its VM."""

import tomllib
from pathlib import Path
from typing import Any

from pydantic import BaseModel, ConfigDict, Field

from comfreywind.errors import SettingsError
from comfreywind.settings.address import Address, AddressField
from comfreywind.settings.loader import validate_model
from comfreywind.settings.node import JobTimings, NodeSettings, StoreLimits

MS_PER_S = 1000


class _Section(BaseModel):
    """A table of the file; unknown keys are ignored, because the platform may add some."""

    model_config = ConfigDict(extra='ignore', frozen=True)


class _Listen(_Section):
    frontend: AddressField
    ready: AddressField


class _Limits(_Section):
    memory_mb: int = 300
    # Most descriptors that the node may have open.
    max_fds: int = 4100
    link_mbps: float = 1000
    # Fraction of the VM's processor that the node may use.
    cpu_quota: float = 1
    # Speed of that processor as a multiple of a usual core.
    cores: float = 1


class _Bounds(_Section):
    hold_max_ms: float = 6000
    stop_grace_ms: float = 200
    gang_wait_ms: float = 3000
    cancel_ms: float = 3000
    early_ms: float = 250
    status_s: float = 120
    grace_s: float = 6
    config_apply_ms: float = 2000
    notice_ms: float = 4500
    maintenance_s: float = 2
    migrate_s: float = 1.5
    lease_ms: float = 3000
    remote_factor: float = 2
    quota_overrun: float = 0.1
    evacuate_ms: float = 5000


class _Store(_Section):
    address: AddressField
    row_bytes: int = 65_536
    history_s: float = 20


class _Cloud(_Section):
    address: AddressField
    duty_per_s: float = 64


class _NodeFile(_Section):
    node_name: str
    zone: str
    ip: str = ''
    internal_ports: list[int] = Field(default_factory=list)
    listen_addrs: _Listen
    platform: _Store
    cloud_api: _Cloud | None = None
    recommendation: str = ''
    limits: _Limits = Field(default_factory=_Limits)
    bounds: _Bounds = Field(default_factory=_Bounds)


def load_node_settings(path: Path) -> NodeSettings:
    """Return the settings in the file; raise SettingsError, which names the invalid key."""
    try:
        document = tomllib.loads(path.read_text(encoding='utf-8'))
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        raise SettingsError(f"{path}: can't be read: {error}") from error
    return decode_node_settings(document, str(path))


def decode_node_settings(document: dict[str, Any], source: str) -> NodeSettings:
    """Return the settings in a parsed file; raise SettingsError, which names the invalid key."""
    node_file = validate_model(_NodeFile, document, source)
    cloud = node_file.cloud_api
    return NodeSettings(
        name=node_file.node_name,
        data_centre=node_file.zone,
        caller_address=node_file.listen_addrs.frontend,
        ready_address=node_file.listen_addrs.ready,
        store_address=node_file.platform.address,
        vm_service_address=cloud.address if cloud else None,
        advice_address=_parse_optional_address(node_file.recommendation),
        timings=_decode_timings(node_file.bounds),
        store_limits=StoreLimits(node_file.platform.row_bytes, node_file.platform.history_s),
        vm_orders_per_s=cloud.duty_per_s if cloud else 0,
        memory_mb=node_file.limits.memory_mb,
        max_fds=node_file.limits.max_fds,
        link_mbps=node_file.limits.link_mbps,
        cores=node_file.limits.cpu_quota * node_file.limits.cores,
        peer_address=_choose_peer_address(node_file),
    )


def _parse_optional_address(text: str) -> Address | None:
    if not text:
        return None
    host, _, port = text.rpartition(':')
    return Address(host, int(port))


def _choose_peer_address(node_file: _NodeFile) -> Address | None:
    if not node_file.ip or not node_file.internal_ports:
        return None
    return Address(node_file.ip, node_file.internal_ports[0])


def _decode_timings(bounds: _Bounds) -> JobTimings:
    return JobTimings(
        lease_limit_s=bounds.hold_max_ms / MS_PER_S,
        stop_grace_s=bounds.stop_grace_ms / MS_PER_S,
        gang_wait_s=bounds.gang_wait_ms / MS_PER_S,
        cancel_s=bounds.cancel_ms / MS_PER_S,
        early_s=bounds.early_ms / MS_PER_S,
        status_retention_s=bounds.status_s,
        grace_s=bounds.grace_s,
        rules_apply_s=bounds.config_apply_ms / MS_PER_S,
        notice_s=bounds.notice_ms / MS_PER_S,
        maintenance_s=bounds.maintenance_s,
        move_s=bounds.migrate_s,
        order_reservation_s=bounds.lease_ms / MS_PER_S,
        remote_factor=bounds.remote_factor,
        ceiling_overrun=bounds.quota_overrun,
        evacuate_s=bounds.evacuate_ms / MS_PER_S,
    )
