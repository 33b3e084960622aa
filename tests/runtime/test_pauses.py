"""Pauses of the process, as after a freeze or a suspension of the VM."""

import pytest

from clementinekeel.runtime import pauses

INTERVAL_S = 0.05


class Clocks:
    def __init__(self):
        self.loop_s = self.boot_s = 100.0
        self.detector = pauses.PauseDetector(
            lambda: self.loop_s, lambda: self.boot_s, INTERVAL_S
        )

    def pass_time(self, stalled_s, suspended_s=0.0):
        self.loop_s += stalled_s
        self.boot_s += stalled_s + suspended_s


def test_checks_in_time_show_no_pause():
    clocks = Clocks()
    for _ in range(100):
        clocks.pass_time(INTERVAL_S + 0.02)
        assert clocks.detector.lateness_s == 0
        assert clocks.detector.check() is None


@pytest.mark.parametrize(
    ("stalled_s", "suspended_s"), [(3.0, 0.0), (0.0, 5.0), (0.5, 2.0)]
)
def test_pause_is_known_before_and_after_its_check(stalled_s, suspended_s):
    """The loop may read what has arrived before or after the check."""
    clocks = Clocks()
    clocks.pass_time(INTERVAL_S + stalled_s, suspended_s)
    total_s = pytest.approx(stalled_s + suspended_s)
    assert clocks.detector.lateness_s == total_s
    pause = clocks.detector.check()
    assert pause == (pytest.approx(stalled_s), pytest.approx(suspended_s))
    assert clocks.detector.lateness_s == total_s
    clocks.pass_time(INTERVAL_S)
    assert clocks.detector.check() is None
    assert clocks.detector.lateness_s == 0


def test_steps_of_one_clock_by_less_than_a_pause_are_ignored():
    clocks = Clocks()
    clocks.pass_time(INTERVAL_S, 0.05)
    assert clocks.detector.check() is None


def test_clock_since_boot_runs():
    assert pauses.seconds_since_boot() <= pauses.seconds_since_boot()
