"""Jobs beyond the limits of one job are refused with an error that names the field.

Without the limits, a single caller could exhaust the memory or time of every holder in turn.
"""

import json
import tracemalloc

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from comfreywind.errors import JobRequestError
from comfreywind.jobs.job_codec import decode_intake_row, encode_job
from comfreywind.jobs.row_format import RowFormatError
from comfreywind.platform.caller_codec import decode_job_request
from tests.helpers.scheduler_harness import JOB_ID, QUEUE, STEP, TEAM, SchedulerHarness, make_job

HUGE = 10**30
MEMORY_LIMIT_BYTES = 4_000_000
ROW_LIMIT_BYTES = 65_536


def decode(document: object) -> None:
    """Decode a request as JobApp does, and encode the row of its job."""
    body = json.dumps(document).encode()
    encode_job(decode_job_request(body, JOB_ID, TEAM, QUEUE, 1, ROW_LIMIT_BYTES))


@pytest.mark.parametrize(
    ('field', 'document'),
    [
        ('repeat_count', {'steps': [{'count': 1}], 'repeat_count': 1_000_000_000}),
        ('repeat_count', {'steps': [{'count': 3}] * 2, 'repeat_count': 4_000}),
        ('steps', {'steps': [{'count': 100_000}] * 3_000}),
        ('steps.0.count', {'steps': [{'count': 100_000}]}),
        ('steps.0.cpu', {'steps': [{'cpu': HUGE}]}),
        ('steps.0.mem_mb', {'steps': [{'mem_mb': HUGE}]}),
        ('steps.0.gpu', {'steps': [{'gpu': HUGE}]}),
        ('steps.0.estimate_ms', {'steps': [{'estimate_ms': HUGE}]}),
        ('steps.0.target_ms', {'steps': [{'target_ms': HUGE}]}),
        ('steps.0.max_per_server', {'steps': [{'max_per_server': HUGE}]}),
        ('steps.0.max_unavailable', {'steps': [{'max_unavailable': HUGE}]}),
        ('interval_ms', {'steps': [{}], 'interval_ms': HUGE, 'repeat_count': 2}),
        ('start_at_ms', {'steps': [{}], 'start_at_ms': HUGE, 'repeat_count': 2}),
        ('steps.0.affinity', {'steps': [{'affinity': 'r' * 1_000}]}),
        ('steps.1.after', {'steps': [{}, {'after': [0] * 50_000}]}),
        ('bytes', {'steps': [{'image': 'i' * 200, 'affinity': 'r' * 200}] * 200}),
    ],
)
def test_refused_with_field(field: str, document: object) -> None:
    """Refuses a job beyond a limit and names the field.

    A request of a few bytes can describe so many tasks that they fill the memory of each holder.
    """
    with pytest.raises(JobRequestError, match=field):
        decode(document)


@pytest.mark.parametrize(
    'document',
    [
        {'steps': [{'count': 24, 'long_running': True}]},
        {'steps': [{'count': 1_000}, {'count': 1_000, 'after': [0]}]},
        {'steps': [{'count': 2}], 'repeat_count': 500, 'start_at_ms': 1, 'interval_ms': 1_000},
        {'spec': 's' * 4_000, 'steps': [{'count': 1}] * 20},
    ],
)
def test_usual_jobs(document: object) -> None:
    """Accepts jobs of the sizes that users submit; limits set too low would refuse them."""
    decode(document)


@pytest.mark.parametrize(
    'fields', [{'occurrence_count': 1_000_000_000}, {'steps': (STEP,) * 2_000}]
)
def test_stored_beyond_limit(fields: dict[str, object]) -> None:
    """Refuses to decode a stored job beyond the limits, and uses little memory for it.

    A row that was stored before the limits existed would end each holder that reads it.
    """
    row = encode_job(make_job(**fields))
    tracemalloc.start()
    try:
        with pytest.raises(RowFormatError):
            decode_intake_row(row)
        assert tracemalloc.get_traced_memory()[1] < MEMORY_LIMIT_BYTES
    finally:
        tracemalloc.stop()


def test_largest_job_is_planned() -> None:
    """Plans a job at the limit; one that took too long would block the holder's event loop."""
    rig = SchedulerHarness()
    rig.add_job(make_job(occurrence_count=5_000, interval_ms=1, first_due_ms=1))
    assert rig.plan()


JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=8),
    lambda inner: (
        st.lists(inner, max_size=4)
        | st.dictionaries(
            st.sampled_from(('spec', 'steps', 'count', 'cpu', 'after', 'repeat_count', 'affinity')),
            inner,
            max_size=4,
        )
    ),
    max_leaves=12,
)


@settings(derandomize=True, max_examples=300, deadline=None)
@given(JSON)
def test_any_json(document: object) -> None:
    """Decodes any JSON document or raises JobRequestError.

    Another error would end the call without a reply that names the cause.
    """
    try:
        decode(document)
    except JobRequestError:
        return


@settings(derandomize=True, max_examples=300, deadline=None)
@given(st.binary(max_size=200))
def test_any_bytes(body: bytes) -> None:
    """Decodes any request body or raises JobRequestError.

    Another error would end the call without a reply that names the cause.
    """
    try:
        decode_job_request(body, JOB_ID, TEAM, QUEUE, 1, ROW_LIMIT_BYTES)
    except JobRequestError:
        return


@settings(derandomize=True, max_examples=300, deadline=None)
@given(st.binary(max_size=200))
def test_any_row(row: bytes) -> None:
    """Decodes any stored row or raises RowFormatError.

    The holder handles only this error; another one would end it.
    """
    try:
        decode_intake_row(b'\x97\x01' + row)
    except RowFormatError:
        return
