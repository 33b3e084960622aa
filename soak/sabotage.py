"""Nodes that violate one guarantee on purpose, to test the soak's checker.

``python -m soak.sabotage NAME`` runs a forwarding node in which a sabotage has
replaced one function by a faulty one.
"""

import asyncio
from collections.abc import Callable
import os
import sys
from typing import Any

from clementinekeel.admission import stated_limit
from clementinekeel.platform import main as platform_main
from clementinekeel.routing import table
from clementinekeel.runtime import registry
from clementinekeel.sidecar import crash_reports
from clementinekeel.sidecar import dispatch
from clementinekeel.sidecar import exchange as exchange_module
from clementinekeel.sidecar import node as node_module
from clementinekeel.sidecar import outbound
from clementinekeel.sidecar import stop_plan

REVERT_DELAY_S = 1.0
SHORT_STOP_S = 1.0
"""End of a planned stop that waits for no request."""

SABOTAGES: registry.Registry[Callable[[], None]] = registry.Registry(
    "sabotage"
)


def _replace_method(
    owner: type, name: str, replacement: Callable[..., Any]
) -> None:
    setattr(owner, name, replacement)


@SABOTAGES.register("resend")
def resend() -> None:
    """Retry requests after a failure even if they are not idempotent."""

    def on_failure(
        self: Any, exchange: exchange_module.Exchange, reason: str
    ) -> None:
        self._record_failure(exchange)
        self.offer(exchange)

    _replace_method(dispatch.Dispatcher, "on_failure", on_failure)


@SABOTAGES.register("false_refusal")
def false_refusal() -> None:
    """Refuse requests that may have run, as if they had not run."""

    def give_up(
        self: Any, exchange: exchange_module.Exchange, reason: str
    ) -> None:
        self._refuse(exchange, reason)

    _replace_method(outbound.OutboundProxy, "_give_up", give_up)


@SABOTAGES.register("no_quarantine")
def no_quarantine() -> None:
    """Let requests run however many backend servers they crash."""
    _replace_method(
        crash_reports.CrashReports, "refusal_s", lambda *_arguments: 0.0
    )


@SABOTAGES.register("older_configuration")
def older_configuration() -> None:
    """Revert to the previous version ``REVERT_DELAY_S`` after each change."""
    activate = outbound.OutboundProxy.activate

    def activate_and_revert(
        self: Any, routing_table: table.RoutingTable
    ) -> bool:
        previous = self._table
        is_newer = activate(self, routing_table)
        if is_newer and previous is not None:
            loop = asyncio.get_running_loop()
            loop.call_later(REVERT_DELAY_S, setattr, self, "_table", previous)
        return is_newer

    _replace_method(outbound.OutboundProxy, "activate", activate_and_revert)


@SABOTAGES.register("cut_answer")
def cut_answer() -> None:
    """Deliver answers without their last byte, as if they were complete."""
    deliver = outbound.OutboundProxy._deliver

    def deliver_truncated(
        self: Any, exchange: exchange_module.Exchange
    ) -> None:
        respond = exchange.connection.respond
        exchange.connection.respond = (  # type: ignore[method-assign]
            lambda head, body, keep=True: respond(head, body[:-1], keep)
        )
        deliver(self, exchange)

    _replace_method(outbound.OutboundProxy, "_deliver", deliver_truncated)


@SABOTAGES.register("ignored_limit")
def ignored_limit() -> None:
    """Send requests to backend servers without regard to their limits."""
    _replace_method(
        stated_limit.StatedLimit, "on_answer", lambda self, *answer: None
    )


@SABOTAGES.register("short_stop")
def short_stop() -> None:
    """Break off running requests early in a planned stop."""
    plan = stop_plan.StopPlan(SHORT_STOP_S, SHORT_STOP_S, SHORT_STOP_S)
    _replace_method(
        stop_plan,  # type: ignore[arg-type]
        "plan_stop",
        lambda *_arguments: plan,
    )


@SABOTAGES.register("exit_on_reload")
def exit_on_reload() -> None:
    """End the process as the settings are read again."""
    _replace_method(node_module.Node, "_reload", lambda self: os._exit(3))


if __name__ == "__main__":
    SABOTAGES.get(sys.argv[1])()
    sys.exit(platform_main.run())
