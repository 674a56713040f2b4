"""Reports on queues, pools, teams and waves, read from the platform's store."""

from collections import Counter

from comfreywind.errors import JobMissingError, StoreUnavailableError
from comfreywind.jobs.job import Job
from comfreywind.jobs.job_codec import decode_intake_row, decode_stored_progress
from comfreywind.jobs.job_rules import JobRules
from comfreywind.jobs.resources import Resources
from comfreywind.jobs.row_format import RowFormatError
from comfreywind.jobs.tables import (
    CANCEL_SUFFIX,
    HOLDER_PARTITION,
    INTAKE_PARTITIONS,
    PROGRESS_PARTITIONS,
    TABLE_INTAKE,
    TABLE_PROGRESS,
    TABLE_TERM,
)
from comfreywind.platform.rows_client import RowsClient
from comfreywind.platform.rules_codec import decode_rules
from comfreywind.platform.stored_row import StoredRow
from comfreywind.platform.target_codec import decode_target
from comfreywind.platform.wave_codec import decode_wave
from comfreywind.platform.wire import KEY_CONFIG, PREFIX_WAVE, TABLE_OPERATOR, TABLE_SERVERS
from comfreywind.scheduling.maintenance_row import MAINTENANCE_KEY, decode_maintenance

Cells = tuple[object, ...]
UNREADABLE = 'unreadable'


async def read_queue_report(rows: RowsClient, queue: str) -> list[Cells]:
    """Return the jobs of a queue that have not ended, oldest first: id, team, state, tasks done."""
    rules = await _read_rules(rows)
    if queue not in rules.queues:
        raise JobMissingError(f'the rules in force name no queue {queue}')
    progress = {
        row.key: row
        for page in await rows.read_partitions(TABLE_PROGRESS, PROGRESS_PARTITIONS)
        for row in page.rows
    }
    jobs = [job for job in await _read_jobs(rows) if job.queue.name == queue]
    jobs.sort(key=lambda job: job.accepted_ms)
    described = (_describe_open_job(job, progress.get(job.job_id)) for job in jobs)
    return [cells for cells in described if cells is not None]


async def read_pool_report(rows: RowsClient) -> list[Cells]:
    """Return the pools: name, standby or working, ready and draining targets, ready cores."""
    rules = await _read_rules(rows)
    states: Counter[tuple[str, bool]] = Counter()
    millicores: Counter[str] = Counter()
    for row in (await rows.read_partition(TABLE_SERVERS, '')).rows:
        entry = decode_target(row.key, row.payload or b'')
        if entry is None:
            continue
        states[entry.pool, entry.draining] += 1
        if not entry.draining:
            millicores[entry.pool] += entry.capacity.cpu_millicores
    return [
        (
            pool.name,
            'standby' if pool.standby else 'working',
            states[pool.name, False],
            states[pool.name, True],
            millicores[pool.name] / 1000,
        )
        for pool in rules.pools.values()
    ]


async def read_team_report(rows: RowsClient) -> list[Cells]:
    """Return the teams: name, weight, ceiling, number of valid keys."""
    rules = await _read_rules(rows)
    keys = Counter(rules.teams_by_key.values())
    return [
        (team.name, team.weight, _format_ceiling(team.ceiling), keys[team.name])
        for team in rules.teams.values()
    ]


async def read_wave_report(rows: RowsClient) -> list[Cells]:
    """Return the maintenance waves: number, VMs, VMs done, limit of concurrent VMs, duration in s."""
    done_row = await rows.read_row(TABLE_TERM, HOLDER_PARTITION, MAINTENANCE_KEY)
    done = decode_maintenance(done_row.payload)
    waves: list[Cells] = []
    for row in (await rows.read_partition(TABLE_OPERATOR, '')).rows:
        wave = decode_wave(row.payload or b'') if row.key.startswith(PREFIX_WAVE) else None
        if wave is not None:
            finished = len(done.get(wave.wave, ()))
            waves.append((wave.wave, len(wave.vms), finished, wave.limit, wave.duration_s))
    return sorted(waves, key=str)


async def _read_rules(rows: RowsClient) -> JobRules:
    row = await rows.read_row(TABLE_OPERATOR, '', KEY_CONFIG)
    rules = decode_rules(row.payload) if row.payload else None
    if rules is None:
        raise StoreUnavailableError('the store holds no rules that can be read')
    return rules


async def _read_jobs(rows: RowsClient) -> list[Job]:
    """Return the stored jobs, except those that are being removed."""
    accepted = [
        decode_intake_row(row.payload)
        for page in await rows.read_partitions(TABLE_INTAKE, INTAKE_PARTITIONS)
        for row in page.rows
        if row.payload is not None and not row.key.endswith(CANCEL_SUFFIX)
    ]
    return [job for job in accepted if isinstance(job, Job)]


def _describe_open_job(job: Job, row: StoredRow | None) -> Cells | None:
    """Return the cells of a job, or None for one that has ended."""
    total = sum(step.task_count for step in job.steps) * job.count_occurrences()
    try:
        progress = decode_stored_progress(None if row is None else row.payload)
    except RowFormatError:
        return (job.job_id, job.team, UNREADABLE, f'? of {total}')
    if progress.state.final:
        return None
    return (job.job_id, job.team, progress.state.value, f'{len(progress.done)} of {total}')


def _format_ceiling(ceiling: Resources) -> str:
    """Return the ceiling as text; 0 means no limit."""
    amounts = (
        (ceiling.cpu_millicores / 1000, 'cores'),
        (ceiling.memory_mb, 'MB'),
        (ceiling.accelerators, 'accelerators'),
    )
    limits = [f'{amount:g} {unit}' for amount, unit in amounts if amount]
    return ', '.join(limits) or 'none'
