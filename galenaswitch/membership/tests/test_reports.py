from galenaswitch.membership.messages import LoadReport, Loads
from galenaswitch.membership.reports import (
    FULL_REPORT_INTERVAL_SECONDS,
    LoadReportEncoder,
    LoadReports,
)

IDLE = LoadReport('engine', '1', models=('scribe@1',))


def test_decoded_reports_equal_the_encoded_reports():
    encoder, reports = LoadReportEncoder(), LoadReports()
    for now, running in enumerate((0, 3, 7, 1)):
        report = IDLE._replace(running=running)
        assert reports.apply(encoder.encode([report], now)) == (report,)


def test_changed_stable_field_causes_a_full_report():
    encoder, reports = LoadReportEncoder(), LoadReports()
    reports.apply(encoder.encode([IDLE], 0))
    leaving = IDLE._replace(leaving=True)
    encoded = encoder.encode([leaving], 1)
    assert encoded.reports == (leaving,)
    assert reports.apply(encoded) == (leaving,)
    assert reports.full_reports().reports == (leaving,)


def test_receiver_without_the_full_report_gets_it_after_the_interval():
    encoder, reports = LoadReportEncoder(), LoadReports()
    encoder.encode([IDLE], 0)
    assert reports.apply(encoder.encode([IDLE], 1)) == ()
    assert reports.unknown_ticks == 1
    repeated = encoder.encode([IDLE], FULL_REPORT_INTERVAL_SECONDS)
    assert reports.apply(repeated) == (IDLE,)


def test_reports_of_removed_targets_are_dropped():
    reports = LoadReports()
    reports.apply(Loads((IDLE,)))
    reports.keep_only(())
    assert reports.full_reports() == Loads()
