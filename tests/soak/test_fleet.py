"""The soak tells a process that ends by itself from one that was told to."""

import signal

import pytest

from soak import fleet as fleet_module


class EndedProcess:
    """A process with an exit code."""

    def __init__(self):
        self.exit_code = None

    def poll(self):
        return self.exit_code

    def send_signal(self, number):
        pass


def ended_by_itself(exit_code, *signals):
    popen = EndedProcess()
    process = fleet_module.NodeProcess(popen, 0.0)
    for number in signals:
        process.signal(number)
    popen.exit_code = exit_code
    return process.has_ended_by_itself()


@pytest.mark.parametrize(
    ("exit_code", "signals"),
    [
        pytest.param(0, [], id="no signal"),
        pytest.param(1, [signal.SIGHUP], id="reload"),
        pytest.param(1, [signal.SIGTERM], id="error in a stop"),
        pytest.param(-signal.SIGABRT, [signal.SIGTERM], id="abort in a stop"),
    ],
)
def test_end_by_itself_is_found(exit_code, signals):
    assert ended_by_itself(exit_code, *signals)


@pytest.mark.parametrize(
    ("exit_code", "signals"),
    [
        pytest.param(0, [signal.SIGTERM], id="planned stop"),
        pytest.param(-signal.SIGTERM, [signal.SIGTERM], id="while starting"),
        pytest.param(
            -signal.SIGKILL, [signal.SIGTERM, signal.SIGKILL], id="killed"
        ),
    ],
)
def test_end_by_a_signal_is_permitted(exit_code, signals):
    assert not ended_by_itself(exit_code, *signals)
