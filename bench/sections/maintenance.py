"""Duration, moves, buffer cost and violations of a maintenance wave, against naive policies."""

import itertools
import statistics

from bench.experiments.maintenance import POLICIES, SCENARIOS, SEEDS, run_wave
from bench.figures import Figures
from bench.sections.flatten import make_name

FIELDS = ('duration_s', 'moves', 'idle_vm_s', 'violation_s')


def measure(figures: Figures) -> None:
    """Add the mean over the seeds for each scenario and policy."""
    for scenario, policy in itertools.product(SCENARIOS, POLICIES):
        waves = [run_wave(policy, scenario, seed) for seed in SEEDS]
        prefix = make_name('maintenance', scenario, policy.name)
        for field_name in FIELDS:
            mean = statistics.fmean(getattr(wave, field_name) for wave in waves)
            figures.add(f'{prefix}_{field_name}', mean)
