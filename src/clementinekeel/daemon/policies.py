"""Checks the policy names in the settings against the registries."""

from clementinekeel.admission.limiters import limiter
from clementinekeel.retries import decisions
from clementinekeel.routing import balancers
from clementinekeel.runtime import ini
from clementinekeel.runtime import registry
from clementinekeel.runtime import settings as settings_module

SECTION = "policies"


def find_faults(
    policies: settings_module.PoliciesSettings, file: str
) -> tuple[ini.Fault, ...]:
    """Return a fault for each policy name that is not registered."""
    registries: dict[str, registry.Registry[object]] = {
        "limiter": limiter.LIMITERS,  # type: ignore[dict-item]
        "balancer": balancers.BALANCERS,  # type: ignore[dict-item]
        "retry": decisions.POLICIES,  # type: ignore[dict-item]
    }
    faults = []
    for option, name in zip(policies._fields, policies, strict=True):
        known = registries[option].names
        if name not in known:
            reason = f"unknown name {name!r} (known: {', '.join(known)})"
            faults.append(ini.Fault(file, 0, SECTION, option, reason))
    return tuple(faults)
