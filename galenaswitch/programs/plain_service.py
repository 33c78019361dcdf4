"""Builds what runs requests to plain services on a VM."""

from galenaswitch.gateway.calls import Wire
from galenaswitch.gateway.plain import PlainRunner
from galenaswitch.gateway.sending import Sender
from galenaswitch.hedging.policy import ExtraWorkPolicy
from galenaswitch.hedging.sends import ExtraSends
from galenaswitch.limits.retries import RetryBudgets
from galenaswitch.membership.lists import Members
from galenaswitch.operations.metrics import Metrics
from galenaswitch.platform.settings import VmSettings
from galenaswitch.quarantine.containment import Containment
from galenaswitch.routing.loads import LoadView
from galenaswitch.routing.slowness import SlowLast


def make_plain_runner(
    settings: VmSettings,
    members: Members,
    sender: Sender,
    wire: Wire,
    budgets: RetryBudgets,
    containment: Containment,
    metrics: Metrics,
) -> PlainRunner:
    """Return a runner, with extra sends if the settings allow them."""
    loads = LoadView()
    runner = PlainRunner(
        settings.zone,
        members,
        sender,
        wire,
        budgets,
        SlowLast(loads, metrics),
        loads,
        containment,
    )
    runner.records.returns.metrics = metrics
    if settings.extra_work_ratio:
        runner.records.extra = ExtraSends(
            ExtraWorkPolicy(settings.extra_work_ratio),
            members,
            sender,
            loads,
            budgets,
            runner.records.ejector,
            metrics,
        )
    return runner
