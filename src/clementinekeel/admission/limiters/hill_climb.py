"""Limiter that lowers the limit only where this doesn't cost goodput.

While the service is slow or fails, the limiter runs trials: it changes the
limit by one step, measures the goodput, and keeps or reverts the step.
"""

import math
from typing import NamedTuple

from clementinekeel.admission.limiters import _bounded
from clementinekeel.admission.limiters import _slot_goodput
from clementinekeel.admission.limiters import _window
from clementinekeel.admission.limiters import limiter
from clementinekeel.configuration import model

# Slowdown above which a lower limit is tried. A trial costs goodput, so the
# slowdown has to be outside the noise of the samples.
TOLERANCE = {
    model.Objective.GOODPUT: 2.0,
    model.Objective.RECOVERY_TIME: 1.5,
}
FAILED_SHARE_MAX = 0.3
# A trial multiplies or divides the limit by this factor.
STEP_FACTOR = 0.7
# A step is kept if the ratio of new to old goodput is at least this power of
# the ratio of new to old limit. The goodput follows the power 0 of the limit
# if the service time is proportional to concurrency, and the power 1 if it
# does not depend on concurrency. With 0.5, a step below the best concurrency
# would be kept at a loss of 15%.
KEEP_POWER = 0.3
# With service times that deviate by 0.4 of their mean, a step without loss is
# rejected in 6 of 100 trials, and a step that costs its full share of the
# goodput is kept in less than 1.
TRIAL_SAMPLES = 80
# A step that costs its full share of the goodput is rejected early. After a
# third of the samples, this also rejects 2 of 100 steps without loss.
EARLY_REJECT_SAMPLES = 27
EARLY_REJECT_POWER = 0.65
# Requests that started before the step are not counted: most end within two
# service times. A backend server that is stuck must not prolong the trial.
SETTLE_SERVICE_TIMES = 2.0
SETTLE_MAX_MS = 5_000
TRIAL_MAX_MS = 20_000
# A rejected step costs (1 - STEP_FACTOR) of the goodput while it lasts. The
# pause after it keeps this cost at 1% of the goodput, unless the pause reaches
# its maximum.
TRIAL_COST_SHARE = 0.01
PAUSE_MAX_MS = 60_000
# Increase per window without overload, as a share of the slots. The full limit
# returns within 2.5 s of the end of an overload (target: 3 s).
INCREASE_SHARE = 0.04


class _Trial(NamedTuple):
    """A changed limit whose effect on the goodput is being measured."""

    start_ms: int
    settled_ms: float
    old_limit: float
    old_goodput: float


@limiter.LIMITERS.register("hill_climb")
class HillClimbLimiter(_bounded.BoundedLimit):
    """Changes the limit while the service is slow, and measures the effect.

    A service that is slow for another reason than its concurrency is equally
    slow at a lower limit, which then only costs goodput. A service that is
    slow because of its concurrency has the same goodput at a lower limit.
    """

    def __init__(
        self, slots: int, objective: model.Objective, now_ms: int
    ) -> None:
        super().__init__(slots)
        self._tolerance = TOLERANCE[objective]
        self._meter = _slot_goodput.GoodputMeter(now_ms)
        self._trial: _Trial | None = None
        self._is_downward = True
        self._confirm_start_ms: int | None = None
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
        if self._confirm_start_ms is not None:
            self._confirm(self._confirm_start_ms, now_ms)
        elif self._is_overloaded(window):
            self._start_confirmation(now_ms)
        elif window.is_limited:
            step = max(1.0, INCREASE_SHARE * self._slots)
            self._limit = min(float(self._slots), self._limit + step)

    @property
    def _normal_slowdown(self) -> float:
        # Hysteresis: a limit that was lowered to reach the tolerance would
        # otherwise rise at once and exceed it again.
        return (1 + self._tolerance) / 2

    def _is_overloaded(self, window: _window.Window) -> bool:
        accepted = self._tolerance
        if self._limit < self._slots:
            accepted = self._normal_slowdown
        return (
            window.slowdown > accepted
            or window.failed_share > FAILED_SHARE_MAX
        )

    def _start_confirmation(self, now_ms: int) -> None:
        if now_ms < self._pause_end_ms:
            return
        self._confirm_start_ms = now_ms
        self._is_settled = False
        self._meter.clear_recent()

    def _confirm(self, start_ms: int, now_ms: int) -> None:
        if not self._is_settled:
            if now_ms - start_ms >= self._settle_ms():
                # Samples from before the slowdown, or of requests that were
                # queued when it started, would be a wrong reference.
                self._is_settled = True
                self._meter.clear_recent()
            return
        if self._meter.samples < TRIAL_SAMPLES:
            return
        self._confirm_start_ms = None
        recent = self._meter.recent_window()
        is_failing = recent.failed_share > FAILED_SHARE_MAX
        if is_failing or recent.slowdown > self._tolerance:
            self._start_trial(now_ms)
        elif self._is_overloaded(recent):
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
            self._goodput(),
        )
        self._limit = self._next_limit()
        self._meter.clear_recent()

    def _settle_ms(self) -> float:
        settle_ms = SETTLE_SERVICE_TIMES * self._meter.service_ms
        return min(settle_ms, SETTLE_MAX_MS)

    def _next_limit(self) -> float:
        if self._is_downward:
            # Limits of trials are whole numbers: 3 follows 4, a quarter less.
            return max(1.0, math.ceil(self._limit * STEP_FACTOR - 0.5))
        return min(float(self._slots), math.ceil(self._limit / STEP_FACTOR))

    def _on_trial_sample(
        self, trial: _Trial, sample: limiter.Sample, now_ms: int
    ) -> None:
        if now_ms < trial.settled_ms:
            return
        self._meter.add(sample, now_ms)
        is_timed_out = now_ms - trial.start_ms >= TRIAL_MAX_MS
        is_measured = self._meter.samples >= TRIAL_SAMPLES
        if not (is_measured or is_timed_out or self._is_rejected_early(trial)):
            return
        self._trial = None
        if self._is_kept(trial) and (is_measured or not trial.old_goodput):
            return
        self._limit = min(trial.old_limit, float(self._slots))
        self._is_downward = not self._is_downward
        self._meter.clear_recent()
        pause_ms = (
            (now_ms - trial.start_ms) * (1 - STEP_FACTOR) / TRIAL_COST_SHARE
        )
        self._pause_end_ms = now_ms + int(min(pause_ms, PAUSE_MAX_MS))

    def _is_kept(self, trial: _Trial) -> bool:
        kept_ratio = math.pow(self._limit / trial.old_limit, KEEP_POWER)
        return self._goodput() >= kept_ratio * trial.old_goodput

    def _goodput(self) -> float:
        # The limit is used in place of the number of running requests: while
        # fewer requests run than the limit allows, a lower limit would seem to
        # cost nothing, until more requests arrive.
        return self._limit * self._meter.goodput_per_slot()

    def _is_rejected_early(self, trial: _Trial) -> bool:
        if self._limit > trial.old_limit:
            # A higher limit costs no goodput while it is measured.
            return False
        if self._meter.samples < EARLY_REJECT_SAMPLES:
            return False
        kept_ratio = math.pow(
            self._limit / trial.old_limit, EARLY_REJECT_POWER
        )
        return self._goodput() < kept_ratio * trial.old_goodput
