"""What is kept of the reports of one crash."""

from galenaswitch.quarantine.evidence import Evidence
from galenaswitch.quarantine.fingerprints import Fingerprints
from galenaswitch.quarantine.messages import CrashReport, ImplicatedPart

FINGERPRINTS = Fingerprints('secret')
HARMFUL = FINGERPRINTS.make([b'harmful'])


def report(incarnation, *idents):
    """Return the report of a crash that implicates parts."""
    parts = (ImplicatedPart(ident, 0, answered=False) for ident in idents)
    return CrashReport(incarnation, tuple(parts), 0)


# Guards against a harmful request that the prompt parts of others push out.
def test_prompt_parts_leave_room_for_requests():
    evidence = Evidence()
    for number in range(3):
        others = [f'p{number}x{one}' for one in range(300)]
        evidence.add_crash(report(f't{number}/1', *others), number)
        assert evidence.add_crash(report(f't{number}/1', HARMFUL), number)
    assert HARMFUL in evidence.find_harmful({}, 3)


def test_requests_leave_room_for_prompt_parts():
    evidence = Evidence()
    requests = [FINGERPRINTS.make([b'%d' % one]) for one in range(600)]
    evidence.add_crash(report('t/1', *requests), 0)
    assert evidence.add_crash(report('t/1', 'subject'), 0)


# Guards against news of a known part that a full crash doesn't take.
def test_full_crash_learns_that_a_part_was_answered():
    evidence = Evidence()
    idents = [f'p{one}' for one in range(300)]
    evidence.add_crash(report('t/1', *idents), 0)
    part = ImplicatedPart('p0', 0, answered=True)
    assert evidence.add_crash(CrashReport('t/1', (part,), 0), 0)


def test_parts_of_one_crash_are_bounded():
    evidence = Evidence()
    requests = [FINGERPRINTS.make([b'%d' % one]) for one in range(900)]
    idents = [f'p{one}' for one in range(900)]
    for _ in range(2):
        evidence.add_crash(report('t/1', *idents, *requests), 0)
    (crash,) = evidence.export(0).crashes
    assert len(crash.parts) == 768
    assert not evidence.add_crash(report('t/1', 'further'), 0)
