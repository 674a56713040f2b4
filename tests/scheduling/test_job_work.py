"""The work of a job, from which the demand for a pool is forecast."""

import pytest

from comfreywind.decisions.scheduling.job_work import estimate_work_vm_s
from comfreywind.jobs.resources import Resources
from comfreywind.jobs.step import Step
from tests.helpers.scheduler_harness import make_job

VM_SIZE = Resources(4000, 10_000)


@pytest.mark.parametrize(
    ('steps', 'work_vm_s'),
    [
        ((Step(8, Resources(1000, 100), estimate_ms=500),), 1),
        ((Step(2, Resources(1000, 5_000), estimate_ms=1000),), 1),
        ((Step(4, Resources(1000, 100)),), 1),
        (
            (
                Step(4, Resources(1000, 100), estimate_ms=1000),
                Step(2, Resources(2000, 100), estimate_ms=3000, after=(0,)),
            ),
            4,
        ),
    ],
    ids=['processor', 'memory is scarcer', 'no estimate', 'all steps'],
)
def test_work(steps: tuple[Step, ...], work_vm_s: float) -> None:
    """The scarcest resource decides for how long a job fills a VM, over all its steps."""
    assert estimate_work_vm_s(make_job(*steps), VM_SIZE) == pytest.approx(work_vm_s)


@pytest.mark.parametrize(('long_running', 'fields'), [(True, {}), (False, {'occurrence_count': 3})])
def test_no_part_of_a_burst(long_running: bool, fields: dict[str, object]) -> None:
    """Long-running and timed jobs don't come in bursts, so their work is not counted."""
    step = Step(1, Resources(1000, 100), long_running=long_running)
    assert estimate_work_vm_s(make_job(step, **fields), VM_SIZE) == 0
