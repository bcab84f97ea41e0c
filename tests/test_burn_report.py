"""The error-budget burn report."""

from __future__ import annotations

from wigeonpoint.report import (
    BurnRecorder,
    BurnReport,
    Objective,
    build_burn_report,
    burn_html,
    burn_table,
    merge_snapshots,
)
from wigeonpoint.request import Rank


def _recorded(name: str, good: int, bad: int, now: float = 1000.0) -> tuple[BurnRecorder, str]:
    recorder = BurnRecorder()
    for _ in range(good):
        recorder.record("closures", Rank.URGENT, good=True, now=now)
    for _ in range(bad):
        recorder.record("closures", Rank.URGENT, good=False, now=now)
    return recorder, name


class TestBurnRecorder:
    """Counts by time window."""

    def test_counts_leave_a_window_after_its_length(self) -> None:
        """Guards against ring buckets that are reused without being cleared."""
        recorder, name = _recorded("a", good=3, bad=1)
        windows = recorder.snapshot(name, now=1000.0 + 301).entries[0].windows
        assert [sum(counts.total) for counts in windows] == [0, 4, 4]

    def test_counts_stay_until_the_window_has_passed(self) -> None:
        """Guards against buckets that are cleared before their window ends."""
        recorder, name = _recorded("a", good=3, bad=1)
        windows = recorder.snapshot(name, now=1000.0 + 270).entries[0].windows
        assert sum(windows[0].total) == 4

    def test_long_pause_clears_all_counts(self) -> None:
        """Guards against old counts that reappear after a pause longer than the ring."""
        recorder, name = _recorded("a", good=3, bad=1)
        windows = recorder.snapshot(name, now=100_000.0).entries[0].windows
        assert all(sum(counts.total) == 0 for counts in windows)


class TestBurnReport:
    """Merging of snapshots and rendering of the report."""

    def _report(self) -> BurnReport:
        snapshots = [
            recorder.snapshot(name, now=1000.0)
            for recorder, name in (_recorded("a", 95, 1), _recorded("b", 1, 3))
        ]
        return build_burn_report(
            merge_snapshots(snapshots),
            lambda route, rank: Objective(target_ms=100, share=0.99),
            unreachable=["c"],
        )

    def test_burn_rate_is_bad_share_over_allowed_share(self) -> None:
        """Guards against a burn rate calculated from the counts of one instance only."""
        row = self._report().rows[0]
        assert (row.total, row.good, row.burn_rate) == (100, 96, 4.0)

    def test_missing_instances_are_named(self) -> None:
        """Guards against a report that looks complete while an instance is missing."""
        report = self._report()
        assert "not reached, counts missing: c" in burn_table(report)
        assert "counts missing: c" in burn_html(report)

    def test_names_are_escaped_in_html(self) -> None:
        """Guards against a route name that injects markup into the page."""
        recorder = BurnRecorder()
        recorder.record("<b>", Rank.BULK, good=True, now=1.0)
        report = build_burn_report(
            merge_snapshots([recorder.snapshot("a", 1.0)]),
            lambda route, rank: Objective(100, 0.99),
            unreachable=[],
        )
        assert "<b>" not in burn_html(report)
