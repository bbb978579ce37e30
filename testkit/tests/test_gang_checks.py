from __future__ import annotations

from zinniaweir.wire.records import SettingsPut
from zinniaweir_testkit.scenario.gang_checks import forbidden_starts, partial_spans
from zinniaweir_testkit.scenario.standin_observer import TaskEvent


def _event(at: float, what: str, member: int, *, worker: str = "w1", attempt: int = 1) -> TaskEvent:
    return TaskEvent(worker=worker, at=at, what=what, job_id="job", attempt=attempt, member=member)


def test_finds_every_span_in_which_a_part_of_a_gang_ran():
    """Guards against a check that misses a member that runs without the rest of its gang.

    It may have started early, have been left running, or still run when the history ends.
    """
    events = [
        _event(1.0, "start", 0),
        _event(1.5, "start", 1),
        _event(4.0, "killed", 0),
        _event(6.0, "stopped", 1),
        _event(7.0, "start", 0, attempt=2),
    ]
    spans = partial_spans(events, {"job": 2}, now=9.0)
    assert [span.seconds for span in spans] == [0.5, 2.0, 2.0]


def test_completed_members_leave_no_partial_span():
    """Guards against counting the normal end of a gang, whose members end one after the other."""
    events = [
        _event(1.0, "start", 0),
        _event(1.0, "start", 1),
        _event(2.0, "done", 0),
        _event(5.0, "done", 1),
    ]
    spans = partial_spans(events, {"job": 2}, now=9.0)
    assert all(span.seconds == 0 for span in spans)


def test_finds_starts_after_a_drain_and_not_after_the_return():
    """Guards against a drain check that misses starts after the bound or counts earlier ones."""
    path = "topology/failure_domains/north/state"
    changes = [
        (10.0, SettingsPut(path=path, value="out", base_version=1)),
        (12.0, SettingsPut(path=path, value="out", base_version=2)),
        (20.0, SettingsPut(path=path, value="in", base_version=3)),
    ]
    events = [_event(at, "start", 0) for at in (9.0, 14.0, 16.0, 21.0)]
    late = forbidden_starts(events, changes, domain="north", workers={"w1": "north"}, bound=5.0)
    assert [(event.at, after) for event, after in late] == [(16.0, 6.0)]
