"""Decoding of the platform's formats: settings files, rules, registrations and waves."""

import json
import logging

import pytest

from comfreywind.errors import SettingsError
from comfreywind.jobs.resources import Resources
from comfreywind.platform.node_file import decode_node_settings
from comfreywind.platform.rules_codec import decode_rules
from comfreywind.platform.target_codec import decode_target
from comfreywind.platform.wave_codec import decode_wave, encode_wave_state
from comfreywind.settings.address import Address

SETTINGS = {
    'node_name': 'edge-1',
    'zone': 'north',
    'listen_addrs': {'frontend': '10.1.0.1:8340', 'ready': '10.1.0.1:8343'},
    'platform': {'address': '10.2.0.1:8344'},
    'bounds': {'hold_max_ms': 6000, 'unheard_of_ms': 1},
}
CONFIG = {
    'version': 7,
    'routes': [
        {'name': 'a', 'host': 'h', 'prefix': '/a/', 'service': 's', 'stretch_factor': 1.6},
        {'name': 'b', 'host': 'h', 'prefix': '/a/b/', 'service': 's', 'public': True},
    ],
    'services': [{'name': 's', 'admission_control': True}, {'name': 'off', 'standby': True}],
    'tenants': [{'name': 't', 'api_keys': ['k1', 'k2'], 'cap': {'cpu': 5000}}],
}
TARGET = {
    'service': 's',
    'address': '10.3.0.1:8080',
    'zone': 'north',
    'state': 'draining',
    'capacity': {'cpu': 16000, 'mem_mb': 1000},
    'labels': ['a', 'r1-2'],
    'born': 5,
}


def test_settings() -> None:
    """Decodes the settings and ignores unknown keys.

    If an unknown key were an error, nodes would not start once the platform adds one to the file.
    """
    settings = decode_node_settings(SETTINGS, 'node.toml')
    assert settings.caller_address == Address('10.1.0.1', 8340)
    assert settings.timings.lease_limit_s == 6
    assert settings.vm_service_address is None


@pytest.mark.parametrize('missing', ['node_name', 'listen_addrs', 'platform'])
def test_settings_without_field(missing: str) -> None:
    """Names the missing field in the error; without it, an operator can't tell what to correct."""
    document = {name: field for name, field in SETTINGS.items() if name != missing}
    with pytest.raises(SettingsError, match=missing):
        decode_node_settings(document, 'node.toml')


def test_rules() -> None:
    """Decodes all keys, ceilings and pools, and finds the queue with the longest prefix.

    A lost key locks a team out, a lost ceiling lets it take a whole pool, and a shorter prefix
    sends its jobs to another queue.
    """
    rules = decode_rules(json.dumps(CONFIG).encode())
    assert rules is not None
    queue = rules.find_queue('h', '/a/b/0123')
    assert queue is not None
    assert queue.name == 'b'
    assert rules.find_queue('other', '/a/b/0123') is None
    assert rules.teams_by_key == {'k1': 't', 'k2': 't'}
    assert rules.teams['t'].ceiling == Resources(5000)
    assert rules.pools['off'].standby


@pytest.mark.parametrize('content', [b'', b'{', b'[]', b'{"routes":[]}', b'\xff\xfe'])
def test_unreadable_rules(content: bytes, caplog: pytest.LogCaptureFixture) -> None:
    """Ignores and logs an unreadable configuration.

    A node that failed on it, or applied empty rules, would refuse all callers.
    """
    assert decode_rules(content) is None
    assert "can't be read" in caplog.text


def test_target() -> None:
    """Decodes the state, labels, capacity and incarnation of a target.

    A draining target taken for a ready one would get tasks, and an incarnation that is read wrongly
    would hide a restart.
    """
    target = decode_target('i-1', json.dumps(TARGET).encode())
    assert target is not None
    assert target.draining
    assert target.labels == {'a', 'r1-2'}
    assert (target.incarnation_start_ms, target.capacity) == (5, Resources(16000, 1000))


@pytest.mark.parametrize(
    'change',
    [{'state': 'asleep'}, {'address': 'nowhere'}, {'capacity': 'much'}, {'service': None}],
)
def test_foreign_entries(change: dict[str, object], caplog: pytest.LogCaptureFixture) -> None:
    """Ignores a registration that is invalid, and logs the id of its target.

    Other programs write to the same table, and their rows may not be registrations.
    """
    caplog.set_level(logging.INFO)
    assert decode_target('i-1', json.dumps({**TARGET, **change}).encode()) is None
    assert 'i-1' in caplog.text


def test_waves() -> None:
    """Decodes a wave with all its fields, ignores an invalid one and encodes both states.

    A wave with another limit would take down too many VMs at once, and with another word for its
    state the operator could not tell whether it is complete.
    """
    wave = decode_wave(b'{"rollout_wave":1,"machines":["m"],"duration_s":20,"cap":2}')
    assert wave is not None
    assert (wave.wave, wave.vms, wave.limit, wave.duration_s) == (1, ('m',), 2, 20)
    assert decode_wave(b'{}') is None
    assert json.loads(encode_wave_state(complete=True)) == {'state': 'complete'}
    assert json.loads(encode_wave_state(complete=False)) == {'state': 'in_progress'}
