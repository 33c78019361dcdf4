from galenaswitch.pipelines.requests import Progress
from galenaswitch.refusals import ExecutionState


def test_nothing_sent_is_not_run():
    assert Progress().run is ExecutionState.not_run


def test_refused_attempt_is_not_run():
    progress = Progress()
    progress.record_sent(repeatable=False)
    progress.record_not_run()
    assert progress.run is ExecutionState.not_run


def test_call_without_outcome_is_unknown():
    progress = Progress()
    progress.record_sent(repeatable=False)
    assert progress.run is ExecutionState.unknown


def test_repeatable_stages_are_partial():
    progress = Progress()
    progress.record_sent(repeatable=True)
    progress.record_settled(repeatable=True)
    assert progress.run is ExecutionState.partial


def test_failure_after_a_booking_that_ran_does_not_free_its_key():
    progress = Progress()
    progress.record_sent(repeatable=False)
    progress.record_settled(repeatable=False)
    progress.record_sent(repeatable=True)
    assert progress.run is ExecutionState.unknown
