"""Times of a planned stop for the grace times of all deployments."""

import pytest

from clementinekeel.sidecar import stop_plan

GRACE_TIMES = pytest.mark.parametrize("grace_s", [0.5, 2.0, 6.0, 10.0, 30.0])


@GRACE_TIMES
def test_times_are_in_order_and_before_the_kill(grace_s):
    """With fixed times, a short grace ended while callers were taken."""
    plan = stop_plan.plan_stop(grace_s)
    assert 0 < plan.backend_drain_s < plan.caller_drain_s < plan.end_s
    assert plan.end_s < grace_s
    assert plan.flush_s > 0
    assert plan.end_s + 2 * plan.flush_s < grace_s


@GRACE_TIMES
def test_nothing_is_broken_off_before_the_last_sixth(grace_s):
    """With a short grace, a quarter of it was left for the end; a request at
    which an endpoint is at work may be broken off in the last sixth alone.
    """
    assert stop_plan.plan_stop(grace_s).end_s >= grace_s * 5 / 6


@GRACE_TIMES
@pytest.mark.parametrize("lasts_s", [0.2, 1.5, 4.0, 8.2])
def test_late_request_is_taken_only_if_it_ends_in_time(grace_s, lasts_s):
    """A request of 4 s was taken late in the grace and cut at its end."""
    plan = stop_plan.plan_stop(grace_s)
    since_stop_s = plan.caller_drain_s
    while since_stop_s < plan.end_s:
        if plan.may_take(since_stop_s, lasts_s):
            assert since_stop_s + lasts_s <= plan.end_s
        since_stop_s += 0.05


def test_early_request_is_taken_whatever_its_deadline():
    """Nearly all are answered long before, and callers can't go elsewhere."""
    plan = stop_plan.plan_stop(6.0)
    assert plan.may_take(plan.caller_drain_s - 0.01, 5.0)


@GRACE_TIMES
@pytest.mark.parametrize("lasts_s", [0.2, 1.5, 4.0, 8.2])
def test_request_of_another_node_is_taken_only_if_it_ends_in_time(
    grace_s, lasts_s
):
    """Any was taken early in a stop; its caller is told that it has not run,
    or it goes to another endpoint.
    """
    plan = stop_plan.plan_stop(grace_s)
    for step in range(round(grace_s * 20)):
        since_stop_s = step * 0.05
        if plan.may_take_offer(since_stop_s, lasts_s):
            assert since_stop_s + lasts_s <= plan.end_s
            assert since_stop_s < plan.backend_drain_s
    assert plan.may_take_offer(0.0, plan.end_s)


@GRACE_TIMES
def test_callers_are_taken_no_longer_than_their_end_is_excused(grace_s):
    """Operators allow a request to be broken off in the last sixth if it was
    sent within 3 s of the signal.
    """
    assert stop_plan.plan_stop(grace_s).caller_drain_s <= 3.0
