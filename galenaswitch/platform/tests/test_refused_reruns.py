"""Stages that are refused when they run again for a request."""

from unittest.mock import AsyncMock

import pytest

from galenaswitch.gateway.routes import CallKind
from galenaswitch.gateway.stages import StageRunner
from galenaswitch.platform.tests.engines import RESET
from galenaswitch.refusals import ExecutionState, Reason, RefusedError

INPUTS_LOST = (
    b'HTTP/1.1 409 Conflict\r\nX-Attempt-Id: a1\r\nX-Not-Executed: 1\r\n'
    b'Content-Length: 0\r\n\r\n'
)


@pytest.fixture
def refuse_reruns(monkeypatch):
    """Return a function that lets stages be refused when they run again."""
    open_job = StageRunner.open_job

    def change(reason):
        def open_refused(runner, *details, is_rerun):
            stages = open_job(runner, *details, is_rerun=is_rerun)
            if is_rerun:
                stages.run = AsyncMock(side_effect=RefusedError(reason))
            return stages

        monkeypatch.setattr(StageRunner, 'open_job', open_refused)

    return change


# Guards against a promise that a request has not run which an engine may have
# run, when stages that run once more are refused.
@pytest.mark.parametrize(
    'reason', [Reason.capacity, Reason.deadline_unreachable]
)
@pytest.mark.parametrize(
    ('scripts', 'run', 'status'),
    [
        ([[RESET], [INPUTS_LOST]], ExecutionState.unknown, 502),
        ([[INPUTS_LOST]], ExecutionState.not_run, 503),
    ],
)
async def test_refused_rerun_of_stages_tells_whether_an_engine_was_asked(
    run_stream,
    make_route,
    start_engines,
    refuse_reruns,
    reason,
    scripts,
    run,
    status,
):
    refuse_reruns(reason)
    engines = await start_engines(*scripts)
    route = make_route(CallKind.stream, resumable=True)
    with pytest.raises(RefusedError) as caught:
        await run_stream(route, *engines.targets)
    assert len(engines.works) == len(scripts)
    assert caught.value.run is run
    assert caught.value.response.status == status
