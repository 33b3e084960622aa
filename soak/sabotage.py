"""Forwarding nodes with one promise broken on purpose, to test the judge.

``python -m soak.sabotage NAME`` runs a node in which one function is replaced.
"""

import asyncio
from collections.abc import Callable
import sys
from typing import Any

from clementinekeel.platform import main as platform_main
from clementinekeel.routing import table
from clementinekeel.runtime import registry
from clementinekeel.sidecar import dispatch
from clementinekeel.sidecar import exchange as exchange_module
from clementinekeel.sidecar import outbound

BACK_AFTER_S = 1.0

SABOTAGES: registry.Registry[Callable[[], None]] = registry.Registry(
    "sabotage"
)


def _replace(owner: type, name: str, function: Callable[..., Any]) -> None:
    setattr(owner, name, function)


@SABOTAGES.register("resend")
def resend() -> None:
    """Send requests that may run only once again after a failure."""

    def on_failure(
        self: Any, exchange: exchange_module.Exchange, reason: str
    ) -> None:
        self._record_failure(exchange)
        self.offer(exchange)

    _replace(dispatch.Dispatcher, "on_failure", on_failure)


@SABOTAGES.register("false_refusal")
def false_refusal() -> None:
    """Say of requests that may have run that they have not."""

    def give_up(
        self: Any, exchange: exchange_module.Exchange, reason: str
    ) -> None:
        self._refuse(exchange, reason)

    _replace(outbound.OutboundProxy, "_give_up", give_up)


@SABOTAGES.register("older_configuration")
def older_configuration() -> None:
    """Go back to the version before a while after each change."""
    use = outbound.OutboundProxy.activate

    def use_and_go_back(self: Any, routing: table.RoutingTable) -> bool:
        before = self._table
        is_newer = use(self, routing)
        if is_newer and before is not None:
            loop = asyncio.get_running_loop()
            loop.call_later(BACK_AFTER_S, setattr, self, "_table", before)
        return is_newer

    _replace(outbound.OutboundProxy, "activate", use_and_go_back)


@SABOTAGES.register("cut_answer")
def cut_answer() -> None:
    """Pass answers on without their last byte, as if they were whole."""
    deliver = outbound.OutboundProxy._deliver

    def deliver_cut(self: Any, exchange: exchange_module.Exchange) -> None:
        respond = exchange.connection.respond
        exchange.connection.respond = (  # type: ignore[method-assign]
            lambda head, body, keep=True: respond(head, body[:-1], keep)
        )
        deliver(self, exchange)

    _replace(outbound.OutboundProxy, "_deliver", deliver_cut)


if __name__ == "__main__":
    SABOTAGES.get(sys.argv[1])()
    sys.exit(platform_main.run())
