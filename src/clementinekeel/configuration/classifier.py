"""Classifier of requests by the operations that the rules define."""

import fnmatch
import re
from typing import NamedTuple

from clementinekeel.configuration import model

DEFAULT_OPERATION = "default"


class _PathMatcher(NamedTuple):
    """One pattern for all paths; group n is the path of operation n - 1."""

    pattern: re.Pattern[str]
    operations: tuple[model.Operation, ...]


class _ServiceMatcher:
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
    """Rules compiled into patterns, for use on every request.

    The rules of a service are compiled on its first request: a node calls
    few services, and compiling the rules of a whole fleet blocks the event
    loop for seconds.

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
        self._matchers: dict[str, _ServiceMatcher] = {}

    def classify(
        self, service: str, method: str, path: str
    ) -> model.Operation:
        """Return the first operation that matches a request.

        Parameters
        ----------
        method : str
            In upper case.
        path : str
            Path of the request; a query string is ignored.

        Returns
        -------
        Operation
            If none matches, an operation of the default class that is not
            idempotent.
        """
        matcher = self._matchers.get(service)
        if matcher is None:
            operations = self._operations.get(service)
            default = _default_operation(self.rules, service)
            if operations is None:
                # Not cached: callers can name any number of services.
                return default
            matcher = _ServiceMatcher(operations, default)
            self._matchers[service] = matcher
        return matcher.classify(method, path)


def _compile(operations: list[model.Operation]) -> _PathMatcher:
    groups = [f"({fnmatch.translate(item.path)})" for item in operations]
    # Without operations, an empty pattern would match the empty path.
    pattern = re.compile("|".join(groups) if groups else r"(?!)")
    return _PathMatcher(pattern, tuple(operations))


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


_last_classifier: list[Classifier] = []


def classify(
    configuration: model.Configuration, service: str, method: str, path: str
) -> model.Operation:
    """Return the operation of a request; see ``Classifier.classify``.

    The compiled rules of the last configuration used are cached, because
    only one configuration is in force at a time. The cache compares the
    rules by identity: hashing takes time in proportion to their size.
    """
    if (
        not _last_classifier
        or _last_classifier[0].rules is not configuration.rules
    ):
        _last_classifier[:] = [Classifier(configuration.rules)]
    return _last_classifier[0].classify(service, method, path)
