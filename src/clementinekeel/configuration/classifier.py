"""Which operation a request is."""

import fnmatch
import re
from typing import NamedTuple

from clementinekeel.configuration import model

DEFAULT_OPERATION = "default"


class _Matcher(NamedTuple):
    """One pattern for all paths; group n is the path of operation n - 1."""

    pattern: re.Pattern[str]
    operations: tuple[model.Operation, ...]


class _Service:
    """Compiled rules of one service."""

    def __init__(
        self, operations: list[model.Operation], default: model.Operation
    ) -> None:
        self._default = default
        methods = {method for item in operations for method in item.methods}
        self._by_method = {
            method: _compile(
                [i for i in operations if not i.methods or method in i.methods]
            )
            for method in methods
        }
        self._any_method = _compile(
            [item for item in operations if not item.methods]
        )

    def classify(self, method: str, path: str) -> model.Operation:
        matcher = self._by_method.get(method, self._any_method)
        match = matcher.pattern.fullmatch(path.partition("?")[0])
        if match is None or match.lastindex is None:
            return self._default
        return matcher.operations[match.lastindex - 1]


class Classifier:
    """Rules compiled for use on every request.

    The rules of a service are compiled at its first request: a node calls
    few services, and compiling those of a whole fleet blocks the event loop
    for seconds.

    Parameters
    ----------
    rules : Rules
        Rules that have passed their checks.
    """

    def __init__(self, rules: model.Rules) -> None:
        self.rules = rules
        self._operations: dict[str, list[model.Operation]] = {}
        for operation in rules.operations:
            self._operations.setdefault(operation.service, []).append(
                operation
            )
        self._compiled: dict[str, _Service] = {}

    def classify(
        self, service: str, method: str, path: str
    ) -> model.Operation:
        """Return the first operation that matches a request.

        Parameters
        ----------
        method : str
            In upper case.
        path : str
            Path of the request; a query is ignored.

        Returns
        -------
        Operation
            If none matches, one of the default class that is not idempotent.
        """
        compiled = self._compiled.get(service)
        if compiled is None:
            operations = self._operations.get(service)
            default = _default_operation(self.rules, service)
            if operations is None:
                # Not kept: callers can name any number of services.
                return default
            compiled = _Service(operations, default)
            self._compiled[service] = compiled
        return compiled.classify(method, path)


def _compile(operations: list[model.Operation]) -> _Matcher:
    groups = [f"({fnmatch.translate(item.path)})" for item in operations]
    # Without operations the pattern must match nothing, not the empty path.
    pattern = re.compile("|".join(groups) if groups else r"(?!)")
    return _Matcher(pattern, tuple(operations))


def _default_operation(rules: model.Rules, service: str) -> model.Operation:
    ranks = {item.name: item.rank for item in rules.classes}
    return model.Operation(
        name=DEFAULT_OPERATION,
        service=service,
        methods=(),
        path="*",
        request_class=rules.default_class,
        rank=ranks[rules.default_class],
        idempotent=False,
        deadline_ms=rules.default_deadline_ms,
    )


_latest: list[Classifier] = []


def classify(
    configuration: model.Configuration, service: str, method: str, path: str
) -> model.Operation:
    """Return the operation of a request; see ``Classifier.classify``.

    The compiled rules of the configuration used last are kept, because one
    configuration at a time is in force. They are found by identity: hashing
    a configuration takes time in proportion to its size.
    """
    if not _latest or _latest[0].rules is not configuration.rules:
        _latest[:] = [Classifier(configuration.rules)]
    return _latest[0].classify(service, method, path)
