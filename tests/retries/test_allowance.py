"""Extra attempts that may have been used are never granted again."""

import pytest

from clementinekeel.retries import allowance
from clementinekeel.retries import calls


@pytest.mark.parametrize(
    ("total", "draws"),
    [(0, [0, 0]), (1, [1, 0]), (2, [1, 1, 0]), (7, [4, 2, 1, 0]), (-3, [0])],
)
def test_reservation_is_half_rounded_up(total, draws):
    pool = allowance.AllowancePool(total)
    assert [pool.reserve().amount for _ in draws] == draws


DOWNSTREAM_ENDS = {
    "partly used": (lambda p, r: p.release(r, 1), 3),
    "unused": (lambda p, r: p.release(r, 0), 4),
    "answer lost": (lambda p, r: p.mark_used(r), 2),
    "late answer": (lambda p, r: (p.mark_used(r), p.release(r, 0)), 2),
    "twice": (lambda p, r: (p.release(r, 0), p.release(r, 0)), 4),
    "used too much": (lambda p, r: p.release(r, 3), 2),
    "used negative": (lambda p, r: p.release(r, -9), 2),
    "no pool": (lambda p, r: p.release(allowance.Reservation(0, 9), 0), 2),
    "after giving up": (lambda p, r: (p.exhaust(), p.release(r, 0)), 0),
}


@pytest.mark.parametrize(
    ("end", "left"), DOWNSTREAM_ENDS.values(), ids=DOWNSTREAM_ENDS
)
def test_end_of_a_downstream_call(end, left):
    pool = allowance.AllowancePool(4)
    end(pool, pool.reserve())
    assert (pool.remaining, pool.used) == (left, 4 - left)


def test_downstream_call_without_pool_has_no_allowance():
    assert allowance.reserve_downstream(None).amount == 0
    assert allowance.reserve_downstream(allowance.AllowancePool(2)).amount == 1


ATTEMPT_ENDS = {
    "refused": (lambda c: c.on_refused(), 5, False),
    "partly used": (lambda c: c.on_answer(1), 4, False),
    "all used": (lambda c: c.on_answer(2), 3, True),
    "used too much": (lambda c: c.on_answer(3), 3, True),
    "used negative": (lambda c: c.on_answer(-1), 3, True),
    "answer lost": (lambda c: c.on_lost(), 3, False),
    "late answer": (lambda c: (c.on_lost(), c.on_answer(0)), 3, False),
}


@pytest.mark.parametrize(
    ("end", "left", "stopped"), ATTEMPT_ENDS.values(), ids=ATTEMPT_ENDS
)
def test_end_of_an_attempt(end, left, stopped):
    call = calls.CallAllowance(5)
    assert call.grant() == 2
    end(call)
    assert (call.remaining, call.used, call.grant_exhausted) == (
        left,
        5 - left,
        stopped,
    )


def test_sender_keeps_an_extra_attempt_when_the_answer_is_lost():
    call = calls.CallAllowance(1)
    assert call.grant() == 0
    call.on_lost()
    assert [call.try_consume(), call.try_consume()] == [True, False]
