from galenaswitch.membership.messages import LoadReport, Loads
from galenaswitch.membership.reports import (
    WHOLE_SECONDS,
    LoadReports,
    ReportSender,
)

IDLE = LoadReport('engine', '1', models=('scribe@1',))


def test_book_follows_what_a_sender_shortens():
    sender, reports = ReportSender(), LoadReports()
    for now, running in enumerate((0, 3, 7, 1)):
        report = IDLE._replace(running=running)
        assert reports.apply(sender.shorten([report], now)) == (report,)


def test_changed_lasting_part_is_sent_whole():
    sender, reports = ReportSender(), LoadReports()
    reports.apply(sender.shorten([IDLE], 0))
    leaving = IDLE._replace(leaving=True)
    short = sender.shorten([leaving], 1)
    assert short.reports == (leaving,)
    assert reports.apply(short) == (leaving,)
    assert reports.full_reports().reports == (leaving,)


def test_book_that_missed_the_whole_report_gets_it_again():
    sender, reports = ReportSender(), LoadReports()
    sender.shorten([IDLE], 0)
    assert reports.apply(sender.shorten([IDLE], 1)) == ()
    assert reports.unknown_ticks == 1
    again = sender.shorten([IDLE], WHOLE_SECONDS)
    assert reports.apply(again) == (IDLE,)


def test_target_that_left_the_list_is_forgotten():
    reports = LoadReports()
    reports.apply(Loads((IDLE,)))
    reports.keep_only(())
    assert reports.full_reports() == Loads()
