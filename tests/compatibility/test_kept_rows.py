"""Rows, frames and files that an earlier build wrote: the present code reads and writes them alike.

The kept data are in `kept_rows.json`, bytes in hexadecimal. They are not made anew when a test here
fails: processes of two builds share stores, streams and settings files while a fleet is replaced.
"""

import dataclasses
import enum
import importlib
import json
import pkgutil
import secrets
import uuid
from collections.abc import Callable, Iterator
from datetime import datetime
from pathlib import Path
from typing import Any

import pytest
import trio
import yaml
from pydantic import BaseModel
from pydantic.json_schema import GenerateJsonSchema

import comfreywind
from bench.job_fleet import JobFleet, run_job_fleet
from comfreywind.bundle.digest import compute_digest
from comfreywind.bundle.parse import parse_bundle
from comfreywind.cli.bundle import load_bundle
from comfreywind.cli.check import SETTINGS_MODELS
from comfreywind.control.control_view import ControlView
from comfreywind.control.lease_watch import LeaseWatch
from comfreywind.control.pool_row import make_pool_fields
from comfreywind.control.vm_row import make_vm_fields, parse_vm_row
from comfreywind.decisions.keys import authenticate_team
from comfreywind.decisions.pools.budget import Budget
from comfreywind.decisions.pools.holder import LeaseStep
from comfreywind.decisions.pools.pool_plan import PoolPlan
from comfreywind.decisions.pools.wave import Wave, WaveState
from comfreywind.decisions.refusal import Outcome
from comfreywind.entry.bundle_loading import make_offer
from comfreywind.entry.claims import Claims, parse_claim_row
from comfreywind.entry.feed import Feed
from comfreywind.entry.fleet_view import FleetView
from comfreywind.entry.operations import Operations
from comfreywind.entry.portions.member_row import decode_member_row, encode_member_row
from comfreywind.entry.portions.portion_codec import (
    decode_portion_row,
    encode_portion_row,
    make_resource,
    parse_team,
)
from comfreywind.entry.refusal_error import RefusalError
from comfreywind.entry.rules_view import RulesView
from comfreywind.entry.service_tasks import ServiceTasks
from comfreywind.entry.view_parts import make_view_messages
from comfreywind.jobs import tables as job_tables
from comfreywind.jobs.ended_job import EndedJob
from comfreywind.jobs.job_codec import (
    decode_intake_row,
    decode_progress,
    encode_job,
    encode_progress,
    encode_tombstone,
)
from comfreywind.jobs.job_owner import JobOwner
from comfreywind.jobs.job_state import JobState
from comfreywind.peers import messages
from comfreywind.peers.message_codec import MessageCodec
from comfreywind.peers.peer_identity import PeerIdentity
from comfreywind.peers.peer_message import PeerMessage
from comfreywind.platform import table_names, wire
from comfreywind.platform.caller_codec import decode_job_request
from comfreywind.platform.changes import Changes
from comfreywind.platform.node_file import load_node_settings
from comfreywind.platform.row import Row
from comfreywind.platform.rules_codec import decode_rules
from comfreywind.platform.target_codec import decode_target
from comfreywind.platform.wave_codec import decode_wave, encode_wave_state
from comfreywind.report.bucket_codec import decode_buckets, encode_buckets
from comfreywind.report.decision_log import DecisionLog
from comfreywind.report.decision_store import DecisionStore
from comfreywind.report.result_recorder import ResultRecorder
from comfreywind.report.summary_store import SummaryStore
from comfreywind.scheduling.maintenance_row import (
    MAINTENANCE_KEY,
    decode_maintenance,
    encode_maintenance,
)
from comfreywind.scheduling.order_reservations import decode_ordered_vms, encode_ordered_vms
from comfreywind.scheduling.term_row import (
    TermRow,
    decode_registry,
    decode_term,
    encode_registry,
    encode_term,
)
from comfreywind.stand_ins.table_store import RowWrite
from tests.helpers.manual_clock import ManualClock
from tests.helpers.memory_tables import MemoryTables
from tests.helpers.program import run_program

KEPT: dict[str, Any] = json.loads(Path(__file__).with_name('kept_rows.json').read_text())
# The packages whose models describe what is written outside of the process.
MODEL_PACKAGES = ('bundle', 'platform', 'report', 'settings', 'stand_ins')
FRAME_HEADER_BYTES = 4
RETENTION_S = 10**9
PACKED_ROWS: dict[str, tuple[Callable[[bytes], Any], Callable[[Any], bytes]]] = {
    'job': (decode_intake_row, encode_job),
    'tombstone': (decode_intake_row, encode_tombstone),
    'progress': (decode_progress, encode_progress),
    'term': (decode_term, encode_term),
    'roster': (decode_registry, encode_registry),
    'orders': (decode_ordered_vms, encode_ordered_vms),
    'upkeep': (decode_maintenance, encode_maintenance),
}
DOCUMENTS: dict[str, tuple[Callable[[str, Any], Any], Callable[[Any], Any]]] = {
    'portions': (lambda _, document: decode_portion_row(document), encode_portion_row),
    'members': (decode_member_row, encode_member_row),
    'vms': (lambda key, document: parse_vm_row(Row('vms', key, 3, document)), make_vm_fields),
    'summary': (lambda _, document: decode_buckets(document), encode_buckets),
}
FOREIGN: dict[str, Callable[[bytes], Any]] = {
    'rules': decode_rules,
    'target': lambda payload: decode_target('i-1', payload),
    'wave': decode_wave,
}


class KeptTables(MemoryTables):
    """The table service in memory with the feed of changes."""

    async def read_changes(self, after_sequence: int, tables: Any) -> Changes:
        """Return the rows of the tables that changed after the sequence."""
        rows = self.store.read_changes(after_sequence, set(tables))
        return Changes(self.store.sequence, tuple(Row(**row) for row in rows))

    def dump(self) -> list[str]:
        """Return all rows as texts, oldest change first."""
        return [json.dumps(row) for row in self.store.read_changes(0, set(KEPT['tables']))]

    def load(self, rows: list[str]) -> None:
        """Take the rows of a dump; their versions start anew."""
        for row in map(json.loads, rows):
            self.store.commit([RowWrite(row['table'], row['key'], None, row['value'])])


class KeptObjects:
    """The object store in memory; objects are kept as the text that is sent."""

    def __init__(self, texts: dict[str, str]) -> None:
        """Start with the given objects."""
        self.texts = dict(texts)

    async def write_new(self, name: str, document: object) -> None:
        """Keep an object."""
        self.texts[name] = json.dumps(document)

    async def write(self, name: str, document: object) -> None:
        """Keep an object."""
        self.texts[name] = json.dumps(document)

    async def read(self, name: str) -> object:
        """Return an object."""
        return json.loads(self.texts[name])


class PlainSchema(GenerateJsonSchema):
    """Schemas that hold no inner name: an address is a text for whoever writes it."""

    def dataclass_schema(self, schema: Any) -> dict[str, Any]:
        """Return the same for each dataclass."""
        return {'type': 'dataclass'}


def make_plain(content: Any) -> Any:
    """Return the content as JSON would hold it, without names of classes and fields."""
    if isinstance(content, enum.Enum):
        return content.value
    if isinstance(content, datetime):
        return content.isoformat()
    if dataclasses.is_dataclass(content) and not isinstance(content, type):
        fields = dataclasses.fields(content)
        return [make_plain(getattr(content, field.name)) for field in fields]
    if isinstance(content, dict):
        return [[make_plain(key), make_plain(part)] for key, part in content.items()]
    if isinstance(content, (set, frozenset)):
        return sorted(map(make_plain, content))
    if isinstance(content, (list, tuple)):
        return list(map(make_plain, content))
    return content


def make_tuples(content: Any) -> Any:
    """Return the content of a kept message with tuples in the place of lists."""
    if isinstance(content, list):
        return tuple(map(make_tuples, content))
    if isinstance(content, dict):
        return {name: make_tuples(part) for name, part in content.items()}
    return content


def list_message_types() -> dict[str, type[PeerMessage]]:
    """Return all types of peer messages by their names on the wire."""
    for module in pkgutil.iter_modules(messages.__path__, f'{messages.__name__}.'):
        importlib.import_module(module.name)
    return {
        each.__name__: each
        for each in PeerMessage.__subclasses__()
        if each.__module__.startswith(f'{comfreywind.__name__}.')
    }


def list_schemas() -> list[str]:
    """Return the fields, defaults and bounds of every model at the border, as texts."""
    for package in MODEL_PACKAGES:
        module = importlib.import_module(f'{comfreywind.__name__}.{package}')
        for found in pkgutil.walk_packages(module.__path__, f'{module.__name__}.'):
            importlib.import_module(found.name)
    prefixes = tuple(f'{comfreywind.__name__}.{package}.' for package in MODEL_PACKAGES)
    schemas = [
        json.dumps(describe_model(model), sort_keys=True)
        for model in list_models(BaseModel)
        if model.__module__.startswith(prefixes) and model.model_fields
    ]
    return sorted(schemas)


def list_models(base: type[BaseModel]) -> Iterator[type[BaseModel]]:
    """Yield all models derived from the base."""
    for model in base.__subclasses__():
        yield model
        yield from list_models(model)


def describe_model(model: type[BaseModel]) -> Any:
    """Return the schema of a model without titles, texts and names of other models."""
    schema = model.model_json_schema(schema_generator=PlainSchema)
    return drop_names(schema, schema.get('$defs', {}))


def drop_names(schema: Any, definitions: dict[str, Any]) -> Any:
    """Return the schema with other models in the place of their names."""
    if isinstance(schema, list):
        return [drop_names(part, definitions) for part in schema]
    if not isinstance(schema, dict):
        return schema
    if '$ref' in schema:
        return drop_names(definitions[schema['$ref'].rpartition('/')[2]], definitions)
    plain: dict[str, Any] = {}
    for name, part in schema.items():
        if name == 'properties':
            plain[name] = {field: drop_names(each, definitions) for field, each in part.items()}
        elif name not in {'title', 'description', '$defs'}:
            plain[name] = drop_names(part, definitions)
    return plain


def list_constants(module: Any) -> list[str]:
    """Return the texts that the module names."""
    texts: set[str] = set()
    for constant in vars(module).values():
        if isinstance(constant, (str, bytes)):
            texts.add(constant if isinstance(constant, str) else constant.decode())
        elif isinstance(constant, tuple):
            texts.update(map(str, constant))
    private = {module.__doc__, module.__name__, module.__file__, module.__cached__}
    return sorted(texts - private - {module.__package__})


def make_codec() -> MessageCodec:
    """Return a codec that knows all types of messages."""
    codec = MessageCodec()
    for message_type in list_message_types().values():
        codec.add_type(message_type)
    return codec


def make_kept_job(case: dict[str, Any]) -> Any:
    """Return the job that a caller hands in under the kept rules."""
    rules = decode_rules(KEPT['foreign'][0]['text'].encode())
    assert rules is not None
    queue = rules.queues[case['queue']]
    body = case['body'].encode()
    return decode_job_request(body, case['id'], case['team'], queue, case['at'], 65_536)


def list_node_rows(fleet: JobFleet) -> list[list[str]]:
    """Return table, part, key and value of the rows that nodes have written."""
    names = {name for name in fleet.store.store.rows if name[0].startswith('comfreywind-')}
    return [[*name, str(fleet.store.store.rows[name].value)] for name in sorted(names)]


async def run_node_jobs(fleet: JobFleet) -> None:
    """Have one job completed and one cancelled."""
    done, cancelled = KEPT['node_jobs'][:2]
    assert await fleet.submit(0, done, 'work_s=0.1', count=1) == 200
    assert await fleet.submit(0, cancelled, 'last', count=1) == 200
    await fleet.wait_for_state(0, done, 'complete')
    assert (await fleet.call(0, 'DELETE', cancelled)).status == 200


async def operate(tables: KeptTables, objects: KeptObjects) -> None:
    """Create two versions, roll one out, grant two keys and withdraw one."""
    operations = Operations(tables, objects)  # type: ignore[arg-type]
    document = yaml.safe_load(KEPT['files']['bundle'])
    await operations.create_version(1, document)
    await operations.sign_off(1)
    await operations.roll_out(1)
    document['teams']['rosters']['ceiling_units'] = 3
    await operations.create_version(2, document)
    await operations.sign_off(2)
    await operations.grant_key('rosters')
    _, key = await operations.grant_key('timetables')
    await operations.withdraw_key(key.key_id)


async def use_claims(tables: KeptTables, use: Callable[[Claims], Any]) -> Any:
    """Run the claims of one entry and return what the use of them returns."""
    services = ServiceTasks()
    async with trio.open_nursery() as nursery:
        await nursery.start(services.run)
        identity = PeerIdentity('entry-0', 7)
        claims = Claims(tables, identity, services, ManualClock(), RETENTION_S)  # type: ignore[arg-type]
        nursery.start_soon(claims.run)
        found = await use(claims)
        await claims.drain(10)
        nursery.cancel_scope.cancel()
    return found


async def make_claims(claims: Claims) -> None:
    """Claim three keys; one request is answered, one has an unknown end and one runs."""
    for key, outcome in (('rosters/a', 'answered'), ('rosters/b', 'unknown')):
        claim = await claims.claim(key, f'fingerprint-{key}', 5)
        claims.finish(claim, Outcome(outcome))
        await claims.drain(10)
    await claims.claim('rosters/c', 'fingerprint-rosters/c', 5)


async def report(tables: KeptTables, objects: KeptObjects) -> None:
    """Write decisions and summaries."""
    clock = ManualClock()
    decisions = DecisionLog(clock)
    decisions.record('move', 'vm/vm-1', 'the VM is drained', available=3, pool='crossings')
    decisions.record('stop', 'vm/vm-2', 'maintenance is due')
    await DecisionStore('entry-0', decisions, tables, objects).flush()  # type: ignore[arg-type]
    recorder = ResultRecorder(clock)
    recorder.add('rebuild', 'rosters', 'good')
    recorder.add('rebuild', 'rosters', 'good')
    recorder.add('notices', 'public', 'queue-full')
    await SummaryStore(tables, objects, 'entry-0-7').write(recorder)  # type: ignore[arg-type]


def make_counted_tokens(monkeypatch: pytest.MonkeyPatch) -> None:
    """Make random texts the same in every run: 01, 02 and so on."""
    counts = iter(range(1, 100))
    monkeypatch.setattr(secrets, 'token_hex', lambda length: f'{next(counts):02x}' * length)
    monkeypatch.setattr(uuid, 'uuid4', lambda: uuid.UUID(int=next(counts)))


async def write_store(tables: KeptTables, objects: KeptObjects) -> None:
    """Write everything that an entry leaves in the table service and in the object store."""
    await operate(tables, objects)
    await use_claims(tables, make_claims)
    await report(tables, objects)


def make_lease(fields: dict[str, Any], name: str = 'entry-0') -> LeaseWatch:
    """Return the watch of a lease whose row has the fields."""
    clock = ManualClock()
    view = ControlView(clock)
    view.apply_changes(Changes(5, (Row('control', 'crossings', 3, fields),)))
    return LeaseWatch('crossings', name, 7, view, clock)


def make_pool_row() -> dict[str, Any]:
    """Return the row of a pool with a VM that stops and one that is borrowed."""
    vms = tuple(
        parse_vm_row(Row('vms', each['key'], 3, json.loads(each['text'])))
        for each in KEPT['documents']
        if each['kind'] == 'vms'
    )
    budget = Budget(size=2, required=1, available=4, stopping=1, tolerated=2)
    wave = Wave(WaveState('running'), 'VMs are due', 'dc-1/rack-2', due=3)
    return make_pool_fields(PoolPlan((), vms, {'reserve': 2}, budget, wave))


@pytest.fixture
def store(monkeypatch: pytest.MonkeyPatch) -> tuple[KeptTables, KeptObjects]:
    """Return the kept store with its objects."""
    make_counted_tokens(monkeypatch)
    tables = KeptTables()
    tables.load(KEPT['store']['rows'])
    return tables, KeptObjects(KEPT['store']['objects'])


@pytest.mark.parametrize('case', KEPT['packed'], ids=lambda case: case['name'])
def test_packed_row(case: dict[str, Any]) -> None:
    """Guards against a row of jobs or of their holder that the other build can't read."""
    decode, encode = PACKED_ROWS[case['kind']]
    payload = bytes.fromhex(case['hex'])
    content = decode(payload)
    assert make_plain(content) == case['content']
    assert encode(content).hex() == case['hex']


@pytest.mark.parametrize('case', KEPT['jobs'], ids=lambda case: case['id'])
def test_job_of_caller(case: dict[str, Any]) -> None:
    """Guards against a field of a caller's job that changes its meaning in the row."""
    assert encode_job(make_kept_job(case)).hex() == case['hex']
    assert decode_intake_row(bytes.fromhex(case['hex'])) == make_kept_job(case)


def test_fields_of_tombstone_and_term() -> None:
    """Guards against fields of the same type that change places in a packed row."""
    owner = JobOwner(team='rosters', queue='build', host='jobs.example', prefix='/build/')
    term = TermRow(
        holder='node-1.17',
        epoch=4,
        renewal=93,
        released=True,
        term_s=1.5,
        renewed_ms=1_767_225_600_123.5,
        pending={'build': 3, 'serve': 1},
        refused={'build': 2.5},
        started_ms=1_767_225_500_000.25,
    )
    by_name = {case['name']: bytes.fromhex(case['hex']) for case in KEPT['packed']}
    assert decode_intake_row(by_name['tombstone']) == EndedJob(owner, JobState('complete'))
    assert decode_term(by_name['term']) == term


@pytest.mark.parametrize('case', KEPT['documents'], ids=lambda case: case['name'])
def test_document(case: dict[str, Any]) -> None:
    """Guards against a row of an entry that the other build can't read."""
    decode, encode = DOCUMENTS[case['kind']]
    content = decode(case['key'], json.loads(case['text']))
    assert make_plain(content) == case['content']
    assert json.dumps(encode(content)) == case['text']


def test_names_of_resources() -> None:
    """Guards against portions that are kept under another key."""
    assert make_resource('rosters') == 'team:rosters'
    assert parse_team('team:rosters') == 'rosters'


@pytest.mark.parametrize('case', KEPT['foreign'], ids=lambda case: case['name'])
def test_text_of_platform(case: dict[str, Any]) -> None:
    """Guards against a field that the operator or a target writes and that is no longer read."""
    assert make_plain(FOREIGN[case['kind']](case['text'].encode())) == case['content']


def test_wave_state() -> None:
    """Guards against a state of a wave that the operator can't read."""
    states = [encode_wave_state(complete).decode() for complete in (True, False)]
    assert states == KEPT['wave_states']


@pytest.mark.parametrize('case', KEPT['leases'], ids=lambda case: case['step'])
def test_control_lease(case: dict[str, Any]) -> None:
    """Guards against two holders of a pool, because one does not read the other's lease."""
    watch = make_lease(json.loads(case['before']))
    write = watch.make_write(LeaseStep(case['step']))
    assert json.dumps(write.value) == case['after']
    assert [write.table, write.key, write.expected_version] == ['control', 'crossings', 3]
    assert make_lease(json.loads(case['after'])).is_held() == case['held']
    assert not make_lease(json.loads(case['after']), 'entry-1').is_held()


def test_pool_row() -> None:
    """Guards against a row of a pool that the other build can't read."""
    assert json.dumps(make_pool_row()) == KEPT['pool_row']


def test_message_types() -> None:
    """Guards against a message type, a field or its type that a peer of the other build refuses."""
    present = {
        name: [[field.name, describe_type(field.type)] for field in dataclasses.fields(each)]
        for name, each in list_message_types().items()
    }
    assert present == KEPT['message_types']


def describe_type(field_type: Any) -> str:
    """Return the type of a field as it is written in code."""
    return field_type.__name__ if isinstance(field_type, type) else str(field_type)


@pytest.mark.parametrize('case', KEPT['messages'], ids=lambda case: case['name'])
def test_message_frame(case: dict[str, Any]) -> None:
    """Guards against a frame that a peer of the other build refuses or reads in another way."""
    message = list_message_types()[case['type']](**make_tuples(case['fields']))
    frame = bytes.fromhex(case['hex'])
    assert make_codec().decode(frame[FRAME_HEADER_BYTES:]) == message
    assert make_codec().encode(message).hex() == case['hex']


def test_every_message_type_is_kept() -> None:
    """Guards against a type of message without a kept frame."""
    assert {case['type'] for case in KEPT['messages']} == KEPT['message_types'].keys()


async def test_store_is_written_alike(
    autojump_clock: trio.testing.MockClock, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against keys, bundles, claims and reports that the other build can't read."""
    make_counted_tokens(monkeypatch)
    tables, objects = KeptTables(), KeptObjects({})
    await write_store(tables, objects)
    assert tables.dump() == KEPT['store']['rows']
    assert objects.texts == KEPT['store']['objects']


async def test_store_is_followed(
    autojump_clock: trio.testing.MockClock, store: tuple[KeptTables, KeptObjects]
) -> None:
    """Guards against an entry that does not take the rules and keys that another build wrote."""
    tables, objects = store
    clock = ManualClock()
    rules_view, fleet_view = RulesView(clock, 4), FleetView()
    vms = [case for case in KEPT['documents'] if case['kind'] == 'vms']
    for case in vms:
        tables.store.commit([RowWrite('vms', case['key'], None, json.loads(case['text']))])
    await Feed(tables, objects, rules_view, fleet_view, clock).poll_once()  # type: ignore[arg-type]
    teams = [authenticate_team(rules_view.keys, f'Bearer {text}') for text in KEPT['store']['keys']]
    assert (rules_view.read_version(), teams) == (1, ['rosters', None])
    request = list_message_types()['ViewRequest'](0, 0, 0, False)  # type: ignore[call-arg]
    parts = make_view_messages(request, rules_view, fleet_view)  # type: ignore[arg-type]
    assert [make_codec().encode(part).hex() for part in parts] == KEPT['store']['view_frames']


async def test_operations_go_on(
    autojump_clock: trio.testing.MockClock, store: tuple[KeptTables, KeptObjects]
) -> None:
    """Guards against versions and keys that can't be put in force or withdrawn any more."""
    tables, objects = store
    operations = Operations(tables, objects)  # type: ignore[arg-type]
    offer = await operations.roll_out(2)
    await operations.withdraw_key(KEPT['store']['granted'])
    assert make_codec().encode(offer).hex() == KEPT['store']['offer_frame']
    assert tables.dump() == KEPT['store']['rows_after']


@pytest.mark.parametrize(
    ('key', 'fingerprint', 'expected'),
    [
        ('rosters/a', 'fingerprint-rosters/a', ['claim-exists', 'answered']),
        ('rosters/b', 'fingerprint-rosters/b', ['claim-exists', 'unknown']),
        ('rosters/c', 'fingerprint-rosters/c', ['claim-exists', 'unknown']),
        ('rosters/a', 'other', ['idempotency-key-reused', 'not-run']),
    ],
)
async def test_claims_hold(
    autojump_clock: trio.testing.MockClock,
    store: tuple[KeptTables, KeptObjects],
    key: str,
    fingerprint: str,
    expected: list[str],
) -> None:
    """Guards against a second run of a request that an entry of another build has claimed."""

    async def use(claims: Claims) -> list[str]:
        with pytest.raises(RefusalError) as caught:
            await claims.claim(key, fingerprint, 5)
        return [caught.value.refusal.reason.problem, caught.value.refusal.outcome.value]

    assert await use_claims(store[0], use) == expected


def test_claim_rows() -> None:
    """Guards against a field of a claim that is read from another one."""
    rows = [json.loads(text) for text in KEPT['store']['rows']]
    claims = [parse_claim_row(Row(**row)) for row in rows if row['table'] == 'claims']
    assert list(map(make_plain, claims)) == KEPT['store']['claims']


async def test_reports_are_read(
    autojump_clock: trio.testing.MockClock, store: tuple[KeptTables, KeptObjects]
) -> None:
    """Guards against decisions and results of another build that are left out of a report."""
    tables, objects = store
    decisions = DecisionStore('entry-1', DecisionLog(ManualClock()), tables, objects)  # type: ignore[arg-type]
    found, complete = await decisions.find('vm/vm-1')
    buckets = await SummaryStore(tables, objects, 'entry-1-1').read('minutes')  # type: ignore[arg-type]
    assert complete
    assert json.dumps(found) == KEPT['store']['decisions']
    assert list(map(make_plain, buckets)) == KEPT['store']['minutes']


@pytest.mark.parametrize('role', sorted(KEPT['settings']))
def test_settings_file(role: str, tmp_path: Path) -> None:
    """Guards against a settings file that only one build takes, or that two read differently."""
    path = tmp_path / f'{role}.yaml'
    for case in KEPT['settings'][role]:
        path.write_text(case['text'])
        result = run_program('check', role, str(path))
        assert (result.exit_status, result.stderr) == (0, '')
        settings = SETTINGS_MODELS[role].model_validate(yaml.safe_load(case['text']))
        assert settings.model_dump(mode='json') == case['content']
        written = settings.model_dump(mode='json', exclude_unset=True)
        assert yaml.safe_dump(written, sort_keys=False) == case['text']


@pytest.mark.parametrize('case', KEPT['node_files'], ids=lambda case: case['name'])
def test_node_file(case: dict[str, Any], tmp_path: Path) -> None:
    """Guards against a node that reads the platform's settings file in another way."""
    path = tmp_path / 'node.toml'
    path.write_text(case['text'])
    assert make_plain(load_node_settings(path)) == case['content']


def test_bundle_files(tmp_path: Path) -> None:
    """Guards against a bundle, or the overlay of a branch, that one build takes and another not."""
    bundle, north = tmp_path / 'bundle.yaml', tmp_path / 'north.yaml'
    bundle.write_text(KEPT['files']['bundle'])
    north.write_text(KEPT['files']['north'])
    result = run_program('bundle', 'check', str(bundle), '--branch', str(north))
    assert (result.exit_status, result.stderr) == (0, '')
    document = load_bundle(bundle, (north,))
    merged = parse_bundle(document, 'kept')
    assert json.dumps(merged.model_dump(mode='json')) == KEPT['files']['merged']
    assert compute_digest(document) == KEPT['files']['digest']
    offer = make_offer(9, KEPT['files']['digest'], document)
    assert make_codec().encode(offer).hex() == KEPT['files']['offer_frame']


def test_models() -> None:
    """Guards against a field, default or bound of a file or request that has changed."""
    assert list_schemas() == [json.dumps(schema, sort_keys=True) for schema in KEPT['schemas']]


def test_tables_and_parts() -> None:
    """Guards against rows that one build writes where another does not look for them."""
    names = [list_constants(module) for module in (job_tables, table_names, wire)]
    assert [*names, MAINTENANCE_KEY] == KEPT['names']
    parts = [
        [job_tables.compute_intake_partition(each), job_tables.compute_progress_partition(each)]
        for each in ('0123456789abcdef', 'fedcba9876543210', '000000000000001f')
    ]
    assert parts == KEPT['parts']


async def test_rows_of_node() -> None:
    """Guards against jobs, progress and marks that a node of another build does not find."""
    async with run_job_fleet(node_count=1, target_count=1) as fleet:
        await run_node_jobs(fleet)
        rows = list_node_rows(fleet)
    # The kept rows are of a build whose nodes did not register themselves and their data centres yet.
    registrations = [
        [table, job_tables.NODES_PARTITION, 'node-0']
        for table in (job_tables.TABLE_NODES, job_tables.TABLE_NODE_DATA_CENTRES)
    ]
    expected = sorted([*(row[:3] for row in KEPT['node_rows']), *registrations])
    assert [row[:3] for row in rows] == expected
    mark = KEPT['node_jobs'][1] + ':cancel'
    values = [[row[3] for row in each if row[2] == mark] for each in (rows, KEPT['node_rows'])]
    assert values[0] == values[1]


async def test_node_goes_on() -> None:
    """Guards against jobs of another build that are lost, shown in another state or run again."""
    done, cancelled, waiting = KEPT['node_jobs']
    kept = [row for row in KEPT['node_rows'] if row[0] != job_tables.TABLE_TERM]
    async with run_job_fleet(node_count=1, target_count=1) as fleet:
        for table, part, key, value in [*kept, KEPT['waiting_row']]:
            fleet.store.store.apply([], [(table, part, key, value)])
        assert await fleet.read_state(0, done) == 'complete'
        assert await fleet.read_state(0, cancelled) == 'cancelled'
        await fleet.wait_for_state(0, waiting, 'complete')
        assert [task for task, _, _ in fleet.log.starts] == [f'{waiting}.0.0.0']
