"""JSON encoding of the etcd v3 gateway: int64 as strings, keys in base64."""

import base64
from typing import Any, NamedTuple, NotRequired, TypedDict

import msgspec

from clementinekeel.store import messages

Json = dict[str, Any]


class HeaderJson(TypedDict):
    """Header of every answer."""

    revision: NotRequired[str]


class KeyValueJson(TypedDict):
    """A key and its value; fields that are zero or empty are left out."""

    key: bytes
    value: NotRequired[bytes]
    create_revision: NotRequired[str]
    mod_revision: NotRequired[str]
    version: NotRequired[str]
    lease: NotRequired[str]


class RangeJson(TypedDict):
    """Answer to a range request."""

    header: NotRequired[HeaderJson]
    kvs: NotRequired[list[KeyValueJson]]
    more: NotRequired[bool]


class PutJson(TypedDict):
    """Answer to a put request."""

    header: NotRequired[HeaderJson]


class DeleteJson(TypedDict):
    """Answer to a delete request."""

    header: NotRequired[HeaderJson]
    deleted: NotRequired[str]


class OperationJson(TypedDict):
    """Answer to one operation of a transaction."""

    response_range: NotRequired[RangeJson]
    response_put: NotRequired[PutJson]
    response_delete_range: NotRequired[DeleteJson]


class TxnJson(TypedDict):
    """Answer to a transaction."""

    header: HeaderJson
    succeeded: NotRequired[bool]
    responses: NotRequired[list[OperationJson]]


class LeaseJson(TypedDict):
    """Answer to the grant of a lease."""

    ID: str
    TTL: NotRequired[str]


class KeepAliveJson(TypedDict):
    """Answer to the renewal of a lease."""

    result: LeaseJson


class EventJson(TypedDict):
    """Event of a watch; no type means a put."""

    type: NotRequired[str]
    kv: KeyValueJson


class WatchResultJson(TypedDict):
    """One message of a watch."""

    header: NotRequired[HeaderJson]
    created: NotRequired[bool]
    canceled: NotRequired[bool]
    compact_revision: NotRequired[str]
    events: NotRequired[list[EventJson]]


class WatchJson(TypedDict):
    """One line of the answer to a watch request."""

    result: WatchResultJson


class ErrorJson(TypedDict):
    """Body of an answer with an error status."""

    message: NotRequired[str]
    error: NotRequired[str]


class WatchMessage(NamedTuple):
    """One message of a watch.

    Attributes
    ----------
    compact_revision : int
        Not 0 if the requested start revision has been compacted.
    """

    revision: int
    is_created: bool
    is_canceled: bool
    compact_revision: int
    events: tuple[messages.Event, ...]


def encode_text(text: str) -> str:
    """Return a key in base64."""
    return base64.b64encode(text.encode()).decode()


def range_request(operation: messages.Range) -> Json:
    """Return the body of ``/v3/kv/range``."""
    request: Json = {"key": encode_text(operation.key)}
    if operation.range_end:
        request["range_end"] = encode_text(operation.range_end)
    if operation.limit:
        request["limit"] = str(operation.limit)
    if operation.keys_only:
        request["keys_only"] = True
    if operation.is_descending:
        request["sort_order"] = "DESCEND"
        request["sort_target"] = "KEY"
    return request


def put_request(operation: messages.Put) -> Json:
    """Return the body of ``/v3/kv/put``."""
    request: Json = {
        "key": encode_text(operation.key),
        "value": operation.value,
    }
    if operation.lease:
        request["lease"] = str(operation.lease)
    return request


def delete_request(operation: messages.DeleteRange) -> Json:
    """Return the body of ``/v3/kv/deleterange``."""
    request: Json = {"key": encode_text(operation.key)}
    if operation.range_end:
        request["range_end"] = encode_text(operation.range_end)
    return request


def _operation_request(operation: messages.Operation) -> Json:
    if isinstance(operation, messages.Range):
        return {"request_range": range_request(operation)}
    if isinstance(operation, messages.Put):
        return {"request_put": put_request(operation)}
    return {"request_delete_range": delete_request(operation)}


_OPERAND_FIELDS = {
    messages.Target.VERSION: "version",
    messages.Target.CREATE_REVISION: "create_revision",
    messages.Target.MOD_REVISION: "mod_revision",
    messages.Target.VALUE: "value",
}


def _compare_request(comparison: messages.Compare) -> Json:
    operand = comparison.operand
    return {
        "key": encode_text(comparison.key),
        "target": comparison.target.value,
        "result": comparison.operator.value,
        _OPERAND_FIELDS[comparison.target]: (
            operand if isinstance(operand, bytes) else str(operand)
        ),
    }


def txn_request(
    comparisons: tuple[messages.Compare, ...],
    success: tuple[messages.Operation, ...],
    failure: tuple[messages.Operation, ...],
) -> Json:
    """Return the body of ``/v3/kv/txn``."""
    return {
        "compare": [
            _compare_request(comparison) for comparison in comparisons
        ],
        "success": [_operation_request(operation) for operation in success],
        "failure": [_operation_request(operation) for operation in failure],
    }


def watch_request(prefix: str, start_revision: int) -> Json:
    """Return the body of ``/v3/watch``."""
    return {
        "create_request": {
            "key": encode_text(prefix),
            "range_end": encode_text(messages.prefix_end(prefix)),
            "start_revision": str(start_revision),
        }
    }


def _revision(header: HeaderJson | None) -> int:
    return int(header.get("revision", "0")) if header else 0


def _key_value(pair: KeyValueJson) -> messages.KeyValue:
    return messages.KeyValue(
        pair["key"].decode(errors="surrogateescape"),
        pair.get("value", b""),
        int(pair.get("create_revision", "0")),
        int(pair.get("mod_revision", "0")),
        int(pair.get("version", "0")),
        int(pair.get("lease", "0")),
    )


def _range_answer(answer: RangeJson) -> messages.RangeAnswer:
    return messages.RangeAnswer(
        _revision(answer.get("header")),
        tuple(_key_value(pair) for pair in answer.get("kvs", [])),
        answer.get("more", False),
    )


def _put_answer(answer: PutJson) -> messages.PutAnswer:
    return messages.PutAnswer(_revision(answer.get("header")))


def _delete_answer(answer: DeleteJson) -> messages.DeleteAnswer:
    return messages.DeleteAnswer(
        _revision(answer.get("header")), int(answer.get("deleted", "0"))
    )


def _operation_answer(answer: OperationJson) -> messages.Answer:
    if "response_range" in answer:
        return _range_answer(answer["response_range"])
    if "response_put" in answer:
        return _put_answer(answer["response_put"])
    if "response_delete_range" in answer:
        return _delete_answer(answer["response_delete_range"])
    raise ValueError("answer to an unknown operation")


def range_answer(body: bytes) -> messages.RangeAnswer:
    """Decode the answer to a range request."""
    return _range_answer(msgspec.json.decode(body, type=RangeJson))


def put_answer(body: bytes) -> messages.PutAnswer:
    """Decode the answer to a put request."""
    return _put_answer(msgspec.json.decode(body, type=PutJson))


def delete_answer(body: bytes) -> messages.DeleteAnswer:
    """Decode the answer to a delete request."""
    return _delete_answer(msgspec.json.decode(body, type=DeleteJson))


def txn_answer(body: bytes) -> messages.TxnAnswer:
    """Decode the answer to a transaction."""
    answer = msgspec.json.decode(body, type=TxnJson)
    return messages.TxnAnswer(
        _revision(answer["header"]),
        answer.get("succeeded", False),
        tuple(_operation_answer(a) for a in answer.get("responses", [])),
    )


def _lease_answer(answer: LeaseJson) -> messages.LeaseAnswer:
    return messages.LeaseAnswer(int(answer["ID"]), int(answer.get("TTL", "0")))


def grant_answer(body: bytes) -> messages.LeaseAnswer:
    """Decode the answer to the grant of a lease."""
    return _lease_answer(msgspec.json.decode(body, type=LeaseJson))


def keep_alive_answer(body: bytes) -> messages.LeaseAnswer:
    """Decode the answer to the renewal of a lease."""
    answer = msgspec.json.decode(body, type=KeepAliveJson)
    return _lease_answer(answer["result"])


def error_message(body: bytes) -> str:
    """Return the gateway's error message, or an empty string."""
    try:
        answer = msgspec.json.decode(body, type=ErrorJson)
    except msgspec.MsgspecError:
        return ""
    return answer.get("message", answer.get("error", ""))


def watch_answer(line: bytes) -> WatchMessage:
    """Decode one line of the answer to a watch request."""
    result = msgspec.json.decode(line, type=WatchJson)["result"]
    events = tuple(
        messages.Event(event.get("type") == "DELETE", _key_value(event["kv"]))
        for event in result.get("events", [])
    )
    return WatchMessage(
        _revision(result.get("header")),
        result.get("created", False),
        result.get("canceled", False),
        int(result.get("compact_revision", "0")),
        events,
    )
