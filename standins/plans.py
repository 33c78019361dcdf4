"""Plans of deployments: the processes that run in each zone."""

from typing import Any, NamedTuple

DEFAULT_MODELS = ('scribe@1',)


class EnginePlan(NamedTuple):
    """Model engine to start in a zone.

    :param models: models that are loaded at the start, as ``name@version``.
    :param shape: size and speed: fields of
        ``standins.engine.EngineParameters``.
    :param checks: whether the engine checks fencing tokens.
    """

    zone: str
    models: tuple[str, ...] = DEFAULT_MODELS
    shape: dict[str, Any] = {}  # noqa: RUF012
    checks: bool = True
    pool: str = 'runners'


class WorkerPlan(NamedTuple):
    """Fake service target to start in a zone.

    :param capacity: number of calls that run at one time.
    :param seconds: mean service time of a call.
    """

    zone: str
    pool: str
    capacity: int = 16
    seconds: float = 0.005


class Plan(NamedTuple):
    """Processes of a deployment.

    :param entries_per_zone: number of entry VMs in each zone.
    :param settings: extra text for the INI file of each program.
    """

    zones: tuple[str, ...] = ('north', 'south')
    entries_per_zone: int = 2
    engines: tuple[EnginePlan, ...] = (
        EnginePlan('north'),
        EnginePlan('south'),
    )
    workers: tuple[WorkerPlan, ...] = ()
    settings: dict[str, str] = {}  # noqa: RUF012


def plan_workers(zones: tuple[str, ...]) -> tuple[WorkerPlan, ...]:
    """Return one worker of each service pool in each zone."""
    pools = ('encoders', 'retrievers', 'rerankers', 'orders', 'bookings')
    return tuple(WorkerPlan(zone, pool) for zone in zones for pool in pools)
