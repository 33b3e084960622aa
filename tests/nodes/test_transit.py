"""Transit delay of messages between clocks that are not synchronized."""

from clementinekeel.nodes import transit


def test_constant_difference_of_clocks_is_no_delay():
    estimator = transit.DelayEstimator()
    assert estimator.excess_ms(5_000_000, 10.0) == 0
    assert estimator.excess_ms(5_000_500, 10.5) == 0


def test_message_delayed_on_the_way_is_late():
    estimator = transit.DelayEstimator()
    estimator.excess_ms(0, 10.0)
    assert estimator.excess_ms(500, 11.9) == 1_400


def test_sender_that_was_paused_is_trusted_again():
    """The clock of a sender stands still while its VM is suspended.

    Its messages must not count as late permanently.
    """
    estimator = transit.DelayEstimator()
    estimator.excess_ms(0, 10.0)
    late = [
        estimator.excess_ms(100 + i * 500, 14.1 + i / 2) for i in range(12)
    ]
    assert late[-1] == 0
