"""Client of the store over the JSON gateway of etcd v3."""

from collections.abc import AsyncGenerator, Callable, Sequence
import contextlib
import random as random_module
import types
from typing import TypeVar

import anyio
import httpx
import msgspec
from returns import result

from clementinekeel.runtime import clock
from clementinekeel.runtime import log
from clementinekeel.store import _wire
from clementinekeel.store import errors
from clementinekeel.store import messages

CONNECT_TIMEOUT_S = 1.0
READ_TIMEOUT_S = 2.0
CALL_TIMEOUT_S = 5.0
"""Timeout of a whole call, because READ_TIMEOUT_S does not end an answer that
arrives byte by byte."""
WATCH_IDLE_TIMEOUT_S = 30.0
"""A watch without a message for this long is reopened, because its connection
may have failed without an error. Reopening costs one or two reads."""
READ_ATTEMPTS = 4
RETRY_BASE_MS = 50
RETRY_MAX_MS = 1_000
WATCH_RESUME_JITTER_MS = 1_000
"""Maximum delay of the first attempt to resume a broken watch. Short, because
no changes are received until the watch is resumed."""
RECONNECT_JITTER_MS = 10_000
"""Maximum delay of later attempts, so that the relays of a fleet do not all
reconnect to a recovered store at the same time."""
MAX_ANSWER_BYTES = 8 * 1024 * 1024
MAX_CONNECTIONS = 4
REJECTED_STATUSES = frozenset({400, 401, 403, 404, 413, 429})
"""Statuses of requests that have had no effect. Other error statuses, such as
503 and 504, may follow a write that the store had already proposed."""
STATUS_TOO_MANY_REQUESTS = 429
STATUS_OK = 200
COMPACTED_MESSAGE = "required revision has been compacted"

T = TypeVar("T")
StoreResult = result.Result[T, errors.StoreError]


class _AnswerTooLongError(Exception):
    pass


class StoreClient:
    """Client of the store, owned by one task.

    Use it as an asynchronous context manager.

    Parameters
    ----------
    urls : Sequence of str
        Base URLs of the store's members, tried in order.
    random : random.Random
        For jitter.
    transport : httpx.AsyncBaseTransport, optional
        Replaces the network in tests.

    Attributes
    ----------
    calls : int
        Number of requests sent; a watch counts once each time it is opened.
    bytes_received, bytes_sent : int
        Bytes of the bodies of answers and requests.
    """

    def __init__(
        self,
        urls: Sequence[str],
        random: random_module.Random,
        transport: httpx.AsyncBaseTransport | None = None,
    ) -> None:
        if not urls:
            raise ValueError("the store has no URL")
        self.calls = 0
        self.bytes_sent = 0
        self.bytes_received = 0
        self._urls = [url.rstrip("/") for url in urls]
        self._url_index = random.randrange(len(urls))
        self._random = random
        self._http = httpx.AsyncClient(
            transport=transport,
            timeout=httpx.Timeout(READ_TIMEOUT_S, connect=CONNECT_TIMEOUT_S),
            limits=httpx.Limits(max_connections=MAX_CONNECTIONS),
            trust_env=False,
            # Loading the certificates blocks the event loop for 0.1 s, so
            # they are loaded only for URLs that need them.
            verify=any(url.startswith("https:") for url in self._urls),
        )

    async def __aenter__(self) -> "StoreClient":
        await self._http.__aenter__()
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: types.TracebackType | None,
    ) -> None:
        await self._http.__aexit__(kind, error, traceback)

    async def back_off(self, attempt: int) -> None:
        """Wait before the next attempt, with full jitter.

        Parameters
        ----------
        attempt : int
            Index of the attempt that has failed, from 0.
        """
        max_ms = min(RETRY_MAX_MS, RETRY_BASE_MS * 2**attempt)
        await clock.sleep_ms(self._random.uniform(0, max_ms))

    async def range(
        self, operation: messages.Range
    ) -> StoreResult[messages.RangeAnswer]:
        """Read keys; retried after failures that may be temporary."""
        request = _wire.range_request(operation)
        return await self._read("/v3/kv/range", request, _wire.range_answer)

    async def put(
        self, operation: messages.Put
    ) -> StoreResult[messages.PutAnswer]:
        """Write a key."""
        request = _wire.put_request(operation)
        return await self._write("/v3/kv/put", request, _wire.put_answer)

    async def delete_range(
        self, operation: messages.DeleteRange
    ) -> StoreResult[messages.DeleteAnswer]:
        """Remove keys."""
        request = _wire.delete_request(operation)
        path = "/v3/kv/deleterange"
        return await self._write(path, request, _wire.delete_answer)

    async def txn(
        self,
        comparisons: Sequence[messages.Compare],
        success: Sequence[messages.Operation],
        failure: Sequence[messages.Operation] = (),
    ) -> StoreResult[messages.TxnAnswer]:
        """Run the success branch atomically if all comparisons hold.

        Otherwise the failure branch is run. A transaction that only reads is
        retried like a read.
        """
        operations = (*success, *failure)
        request = _wire.txn_request(
            tuple(comparisons), tuple(success), tuple(failure)
        )
        reads_only = all(isinstance(o, messages.Range) for o in operations)
        send = self._read if reads_only else self._write
        return await send("/v3/kv/txn", request, _wire.txn_answer)

    async def grant(self, ttl_s: int) -> StoreResult[messages.LeaseAnswer]:
        """Create a lease."""
        request = {"TTL": str(ttl_s)}
        path = "/v3/lease/grant"
        return await self._write(path, request, _wire.grant_answer)

    async def keep_alive(
        self, lease_id: int
    ) -> StoreResult[messages.LeaseAnswer]:
        """Renew a lease; a TTL of 0 in the answer means that it has ended."""
        request = {"ID": str(lease_id)}
        path = "/v3/lease/keepalive"
        return await self._write(path, request, _wire.keep_alive_answer)

    async def revoke(self, lease_id: int) -> StoreResult[messages.PutAnswer]:
        """Remove a lease and its keys."""
        request = {"ID": str(lease_id)}
        return await self._write("/v3/lease/revoke", request, _wire.put_answer)

    async def watch(
        self, prefix: str, start_revision: int
    ) -> AsyncGenerator[messages.WatchBatch | messages.FullReadNeeded, None]:
        """Follow the changes of all keys with a prefix.

        A broken watch is resumed at the next revision, with an unlimited
        number of attempts. A batch without events then tells the reader to
        read the keys again: the revisions of a store that was restored from
        an old copy may have reached the expected one again. The generator
        ends after it has yielded ``FullReadNeeded``.

        Parameters
        ----------
        prefix : str
            Prefix of the keys.
        start_revision : int
            First revision whose changes are returned.
        """
        next_revision = start_revision
        attempt = 0
        is_resumed = False
        while True:
            try:
                watch = self._watch_once(prefix, next_revision)
                async with contextlib.aclosing(watch) as received:
                    async for message in received:
                        attempt = 0
                        gap = _find_gap(message, next_revision)
                        if gap is not None:
                            yield gap
                            return
                        if message.is_canceled:
                            break
                        if message.events or is_resumed:
                            is_resumed = False
                            yield messages.WatchBatch(
                                message.revision, message.events
                            )
                        for event in message.events:
                            revision = event.pair.mod_revision
                            next_revision = max(next_revision, revision + 1)
            except errors.StoreError as error:
                log.event(
                    "store_watch_broken",
                    level="WARNING",
                    step=error.step,
                    peer=error.peer,
                    reason=error.reason,
                )
            is_resumed = True
            self._select_next_url()
            await self._wait_to_resume(attempt)
            attempt += 1

    async def _wait_to_resume(self, attempt: int) -> None:
        max_ms = RECONNECT_JITTER_MS if attempt else WATCH_RESUME_JITTER_MS
        await clock.sleep_ms(self._random.uniform(0, max_ms))

    async def _watch_once(
        self, prefix: str, start_revision: int
    ) -> AsyncGenerator[_wire.WatchMessage, None]:
        url = self._urls[self._url_index]
        peer = _peer(url)
        content = msgspec.json.encode(
            _wire.watch_request(prefix, start_revision)
        )
        self._count_call(content)
        timeout = httpx.Timeout(
            WATCH_IDLE_TIMEOUT_S, connect=CONNECT_TIMEOUT_S
        )
        try:
            async with self._http.stream(
                "POST", f"{url}/v3/watch", content=content, timeout=timeout
            ) as response:
                if response.status_code != STATUS_OK:
                    reason = f"status {response.status_code}"
                    raise errors.Unavailable("watch", peer, reason)
                async for line in self._lines(response):
                    yield _wire.watch_answer(line)
        except httpx.ReadTimeout:
            # Normal if no key has changed.
            return
        except httpx.HTTPError as error:
            raise errors.Unavailable("watch", peer, repr(error)) from error
        except (msgspec.MsgspecError, ValueError) as error:
            reason = f"malformed message: {error}"
            raise errors.Unavailable("watch", peer, reason) from error
        except _AnswerTooLongError as error:
            raise errors.AnswerTooLarge("watch", peer, "message") from error

    async def _lines(
        self, response: httpx.Response
    ) -> AsyncGenerator[bytes, None]:
        buffer = bytearray()
        async for chunk in response.aiter_bytes():
            self.bytes_received += len(chunk)
            buffer += chunk
            *lines, rest = buffer.split(b"\n")
            for line in lines:
                if line.strip():
                    yield bytes(line)
            buffer = rest
            if len(buffer) > MAX_ANSWER_BYTES:
                raise _AnswerTooLongError

    async def _read(
        self, path: str, request: _wire.Json, decode: Callable[[bytes], T]
    ) -> StoreResult[T]:
        content = msgspec.json.encode(request)
        for attempt in range(READ_ATTEMPTS):
            answer = await self._attempt(path, content, decode)
            if isinstance(answer, result.Success):
                return answer
            error = answer.failure()
            if not _is_retryable(error):
                break
            self._select_next_url()
            if attempt + 1 < READ_ATTEMPTS:
                await self.back_off(attempt)
        if isinstance(error, errors.Undetermined):
            error = errors.Unavailable(error.step, error.peer, error.reason)
        return result.Failure(error)

    async def _write(
        self, path: str, request: _wire.Json, decode: Callable[[bytes], T]
    ) -> StoreResult[T]:
        """Send a write at most once.

        The next member is tried only if no connection could be made, because
        nothing has been sent then.
        """
        content = msgspec.json.encode(request)
        for _ in self._urls:
            answer = await self._attempt(path, content, decode)
            if isinstance(answer, result.Success):
                return answer
            error = answer.failure()
            if not isinstance(error, errors.Rejected):
                self._select_next_url()
            if not isinstance(error, errors.Unavailable):
                break
        if isinstance(error, errors.AnswerTooLarge):
            error = errors.Undetermined(error.step, error.peer, error.reason)
        return result.Failure(error)

    async def _attempt(
        self, path: str, content: bytes, decode: Callable[[bytes], T]
    ) -> StoreResult[T]:
        url = self._urls[self._url_index]
        peer = _peer(url)
        self._count_call(content)
        try:
            with anyio.fail_after(CALL_TIMEOUT_S):
                status, body = await self._exchange(url + path, content)
        except (
            httpx.ConnectError,
            httpx.ConnectTimeout,
            httpx.PoolTimeout,
        ) as error:
            return result.Failure(errors.Unavailable(path, peer, repr(error)))
        except (httpx.HTTPError, TimeoutError) as error:
            return result.Failure(errors.Undetermined(path, peer, repr(error)))
        except _AnswerTooLongError:
            return result.Failure(errors.AnswerTooLarge(path, peer, "answer"))
        if status != STATUS_OK:
            return result.Failure(_status_error(path, peer, status, body))
        try:
            return result.Success(decode(body))
        except (msgspec.MsgspecError, ValueError) as error:
            reason = f"malformed answer: {error}"
            return result.Failure(errors.Undetermined(path, peer, reason))

    async def _exchange(self, url: str, content: bytes) -> tuple[int, bytes]:
        body = bytearray()
        async with self._http.stream("POST", url, content=content) as response:
            async for chunk in response.aiter_bytes():
                body += chunk
                if len(body) > MAX_ANSWER_BYTES:
                    raise _AnswerTooLongError
        self.bytes_received += len(body)
        return response.status_code, bytes(body)

    def _count_call(self, content: bytes) -> None:
        self.calls += 1
        self.bytes_sent += len(content)

    def _select_next_url(self) -> None:
        self._url_index = (self._url_index + 1) % len(self._urls)


def _peer(url: str) -> str:
    """Return the host and port of a URL, without credentials."""
    parsed = httpx.URL(url)
    return parsed.netloc.decode()


def _is_retryable(error: errors.StoreError) -> bool:
    kinds = (errors.Unavailable, errors.Undetermined, errors.RateLimited)
    return isinstance(error, kinds)


def _status_error(
    path: str, peer: str, status: int, body: bytes
) -> errors.StoreError:
    reason = f"status {status}: {_wire.error_message(body)}"
    if status == STATUS_TOO_MANY_REQUESTS:
        return errors.RateLimited(path, peer, reason)
    if COMPACTED_MESSAGE in reason:
        return errors.Compacted(path, peer, reason)
    if status in REJECTED_STATUSES:
        return errors.Rejected(path, peer, reason)
    return errors.Undetermined(path, peer, reason)


def _find_gap(
    message: _wire.WatchMessage, next_revision: int
) -> messages.FullReadNeeded | None:
    if message.compact_revision:
        return messages.FullReadNeeded(message.revision, "compacted")
    # After the store was restored from an older copy, the watch would wait
    # for a revision that was lost, and miss all changes before it.
    if message.is_created and message.revision < next_revision - 1:
        return messages.FullReadNeeded(message.revision, "revision_reverted")
    return None
