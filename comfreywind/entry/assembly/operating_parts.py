"""Components that poll the platform, control the pools, report, and serve operators."""

from dataclasses import dataclass

from comfreywind.control.control_task import ControlTask
from comfreywind.control.make_control import make_control
from comfreywind.entry.assembly.core_parts import CoreComponents
from comfreywind.entry.assembly.serving_parts import ServingComponents
from comfreywind.entry.confirmations import Confirmations
from comfreywind.entry.feed import Feed
from comfreywind.entry.member_status import MemberStatus
from comfreywind.entry.observed_app import ObservedApp
from comfreywind.entry.operations import Operations
from comfreywind.entry.operator_app import OperatorApp
from comfreywind.entry.propagation import Propagation
from comfreywind.metrics import make_metrics
from comfreywind.report.burn_reporter import BurnReporter
from comfreywind.report.decision_store import DecisionStore
from comfreywind.report.explainer import Explainer
from comfreywind.report.result_recorder import ResultRecorder
from comfreywind.report.summary_store import SummaryStore


@dataclass(frozen=True, slots=True)
class OperatingComponents:
    """Change feed, control, reports and the app for operators."""

    feed: Feed
    control: ControlTask
    recorder: ResultRecorder
    summaries: SummaryStore
    decision_store: DecisionStore
    observed_app: ObservedApp
    operator_app: OperatorApp


def make_operating_components(
    core: CoreComponents, serving: ServingComponents
) -> OperatingComponents:
    """Build the components that operate the entry."""
    settings = core.settings
    recorder = ResultRecorder(core.clock)
    summaries = SummaryStore(core.tables, core.objects, _make_process_name(core))
    decision_store = DecisionStore(settings.name, core.decisions, core.tables, core.objects)
    propagation = Propagation(
        core.hub,
        core.rules_view,
        core.fleet_view,
        core.clock,
        settings.timings,
        push=settings.push_changes,
    )
    operator_app = OperatorApp(
        settings.name,
        settings.operator_token_sha256,
        Operations(core.tables, core.objects),
        core.rules_view,
        core.fleet_view,
        BurnReporter(summaries, recorder, core.clock),
        propagation,
        Confirmations(core.hub, core.rules_view, core.clock, settings.timings.confirm_wait_s),
        MemberStatus(core.hub, core.clock),
        core.control_view,
        Explainer(settings.name, core.decisions, decision_store, core.hub),
    )
    return OperatingComponents(
        feed=Feed(
            core.tables,
            core.objects,
            core.rules_view,
            core.fleet_view,
            core.clock,
            core.control_view,
        ),
        control=_make_control(core, serving),
        recorder=recorder,
        summaries=summaries,
        decision_store=decision_store,
        observed_app=ObservedApp(
            serving.caller_app,
            core.rules_view,
            recorder,
            make_metrics(settings.statsd_address),
            core.decisions,
            core.clock,
        ),
        operator_app=operator_app,
    )


def _make_control(core: CoreComponents, serving: ServingComponents) -> ControlTask:
    return make_control(
        core.hub.identity,
        core.hub,
        core.control_view,
        core.rules_view,
        core.fleet_view,
        core.tables,
        core.vm_list_client,
        serving.dispatcher.read_outstanding,
        core.decisions,
        core.clock,
        core.settings.timings,
    )


def _make_process_name(core: CoreComponents) -> str:
    """Return a name that is unique among all processes of this entry."""
    return f'{core.settings.name}-{core.hub.identity.incarnation}'
