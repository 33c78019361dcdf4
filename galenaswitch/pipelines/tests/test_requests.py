from galenaswitch.pipelines.requests import Progress
from galenaswitch.refusals import ExecutionState


def test_request_without_attempts_has_not_run():
    assert Progress().run is ExecutionState.not_run


def test_request_with_only_a_refused_attempt_has_not_run():
    progress = Progress()
    progress.record_sent(repeatable=False)
    progress.record_not_run()
    assert progress.run is ExecutionState.not_run


def test_call_without_an_answer_has_an_unknown_outcome():
    progress = Progress()
    progress.record_sent(repeatable=False)
    assert progress.run is ExecutionState.unknown


def test_request_with_only_repeatable_stages_ran_partially():
    progress = Progress()
    progress.record_sent(repeatable=True)
    progress.record_success(repeatable=True)
    assert progress.run is ExecutionState.partial


def test_outcome_stays_unknown_after_a_nonrepeatable_call():
    progress = Progress()
    progress.record_sent(repeatable=False)
    progress.record_success(repeatable=False)
    progress.record_sent(repeatable=True)
    assert progress.run is ExecutionState.unknown
