"""Lowers the limit only as far as a lower limit raises useful work."""

import math
from typing import NamedTuple

from clementinekeel.admission.limiters import _bounded
from clementinekeel.admission.limiters import _slot_yield
from clementinekeel.admission.limiters import _window
from clementinekeel.admission.limiters import limiter
from clementinekeel.configuration import model

# Slowdown above which a lower limit is tried. A trial costs goodput, so that
# it is started outside the noise of the samples.
TOLERANCE = {
    model.Objective.GOODPUT: 2.0,
    model.Objective.RECOVERY_TIME: 1.5,
}
FAILED_SHARE_MAX = 0.3
# A trial multiplies or divides the limit by this.
STEP = 0.7
# A step is kept if the yield changes by less than this power of the step
# where it loses, or by more where it gains: 0 for a service time in proportion
# to concurrency, 1 for one that does not depend on it. Midway between both, a
# step below the best concurrency would be kept at a loss of 15%.
ACCEPT_POWER = 0.3
# With a deviation of 0.4 of the mean, a step that costs nothing is rejected in
# 6 of 100 trials, and one that costs its full share is kept in less than 1.
TRIAL_SAMPLES = 80
# A step that costs its full share shows earlier, and ends then. After a third
# of the samples this ends 2 of 100 steps that cost nothing.
EARLY_SAMPLES = 27
EARLY_POWER = 0.65
# Requests from before the step are not counted: most end within two service
# times. A backend server that is stuck must not prolong the trial.
SETTLE_SERVICE_TIMES = 2.0
SETTLE_MAX_MS = 5_000
TRIAL_MAX_MS = 20_000
# A rejected step costs (1 - STEP) of the goodput while it lasts. The pause
# after it keeps this at 1% of the goodput, unless it reaches its limit.
COST_SHARE = 0.01
PAUSE_MAX_MS = 60_000
# Added per normal window, as a share of the slots, so that the full limit
# returns within 2.5 s of the end of an overload (target: 3 s).
INCREASE_SHARE = 0.04


class _Trial(NamedTuple):
    """A changed limit whose effect is being measured."""

    start_ms: int
    settled_ms: float
    old_limit: float
    old_yield: float


@limiter.LIMITERS.register("hill_climb")
class HillClimbLimiter(_bounded.BoundedLimit):
    """Changes the limit while slow, and keeps a change that pays.

    A service that is slow for a reason of its own is equally slow at a lower
    limit, which then only costs goodput. A service that is slow because of
    its concurrency does the same work at a lower limit.
    """

    def __init__(
        self, slots: int, objective: model.Objective, now_ms: int
    ) -> None:
        super().__init__(slots)
        self._tolerance = TOLERANCE[objective]
        self._meter = _slot_yield.YieldMeter(now_ms)
        self._trial: _Trial | None = None
        self._is_downward = True
        self._confirm_ms: int | None = None
        self._is_settled = False
        self._pause_end_ms = now_ms

    def on_finished(self, sample: limiter.Sample, now_ms: int) -> None:
        """Adapt the limit at the end of a window or a trial."""
        if self._trial is not None:
            self._on_trial_sample(self._trial, sample, now_ms)
            return
        window = self._meter.add(sample, now_ms)
        if window is None:
            return
        if self._confirm_ms is not None:
            self._confirm(self._confirm_ms, now_ms)
        elif self._is_suspect(window):
            self._begin_confirming(now_ms)
        elif window.is_limited:
            step = max(1.0, INCREASE_SHARE * self._slots)
            self._limit = min(float(self._slots), self._limit + step)

    @property
    def _normal_slowdown(self) -> float:
        # Hysteresis: a limit that was lowered to reach the tolerance would
        # otherwise rise at once and exceed it again.
        return (1 + self._tolerance) / 2

    def _is_suspect(self, window: _window.Window) -> bool:
        accepted = self._tolerance
        if self._limit < self._slots:
            accepted = self._normal_slowdown
        return (
            window.slowdown > accepted
            or window.failed_share > FAILED_SHARE_MAX
        )

    def _begin_confirming(self, now_ms: int) -> None:
        if now_ms < self._pause_end_ms:
            return
        self._confirm_ms = now_ms
        self._is_settled = False
        self._meter.forget()

    def _confirm(self, start_ms: int, now_ms: int) -> None:
        if not self._is_settled:
            if now_ms - start_ms >= self._settle_ms():
                # Samples from before the slowdown, or from the queue that it
                # found, would be a false reference.
                self._is_settled = True
                self._meter.forget()
            return
        if self._meter.samples < TRIAL_SAMPLES:
            return
        self._confirm_ms = None
        recent = self._meter.recent()
        is_failing = recent.failed_share > FAILED_SHARE_MAX
        if is_failing or recent.slowdown > self._tolerance:
            self._start_trial(now_ms)
        elif self._is_suspect(recent):
            self._is_downward = False
            self._start_trial(now_ms)

    def _start_trial(self, now_ms: int) -> None:
        if self._limit >= self._slots:
            self._is_downward = True
        elif self._limit <= 1:
            self._is_downward = False
        old_limit = self._limit
        self._trial = _Trial(
            now_ms,
            now_ms + self._settle_ms(),
            old_limit,
            self._yield(),
        )
        self._limit = self._next_limit()
        self._meter.forget()

    def _settle_ms(self) -> float:
        settle_ms = SETTLE_SERVICE_TIMES * self._meter.service_ms
        return min(settle_ms, SETTLE_MAX_MS)

    def _next_limit(self) -> float:
        if self._is_downward:
            # The next whole number: 1 of 4 slots is a step by a quarter.
            return max(1.0, math.ceil(self._limit * STEP - 0.5))
        return min(float(self._slots), math.ceil(self._limit / STEP))

    def _on_trial_sample(
        self, trial: _Trial, sample: limiter.Sample, now_ms: int
    ) -> None:
        if now_ms < trial.settled_ms:
            return
        self._meter.add(sample, now_ms)
        is_over = now_ms - trial.start_ms >= TRIAL_MAX_MS
        is_measured = self._meter.samples >= TRIAL_SAMPLES
        if not (is_measured or is_over or self._fails_early(trial)):
            return
        self._trial = None
        if self._pays(trial) and (is_measured or not trial.old_yield):
            return
        self._limit = min(trial.old_limit, float(self._slots))
        self._is_downward = not self._is_downward
        self._meter.forget()
        pause_ms = (now_ms - trial.start_ms) * (1 - STEP) / COST_SHARE
        self._pause_end_ms = now_ms + int(min(pause_ms, PAUSE_MAX_MS))

    def _pays(self, trial: _Trial) -> bool:
        accept = math.pow(self._limit / trial.old_limit, ACCEPT_POWER)
        return self._yield() >= accept * trial.old_yield

    def _yield(self) -> float:
        # The limit stands for the concurrency: with fewer running requests a
        # lower limit seems to cost nothing, until the next ones arrive.
        return self._limit * self._meter.slot_yield()

    def _fails_early(self, trial: _Trial) -> bool:
        if self._limit > trial.old_limit:
            # A higher limit costs no goodput while it is measured.
            return False
        if self._meter.samples < EARLY_SAMPLES:
            return False
        accept = math.pow(self._limit / trial.old_limit, EARLY_POWER)
        return self._yield() < accept * trial.old_yield
