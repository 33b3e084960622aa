"""Concurrency limiters; importing the package fills the registry."""

from clementinekeel.admission.limiters import aimd
from clementinekeel.admission.limiters import fixed
from clementinekeel.admission.limiters import gradient
from clementinekeel.admission.limiters import hill_climb
from clementinekeel.admission.limiters import limiter
