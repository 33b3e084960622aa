"""Decodes the heartbeats of the users' platform."""

import msgspec
from returns import result

from clementinekeel.membership import heartbeats
from clementinekeel.runtime import decoding
from clementinekeel.runtime import errors

MS_PER_S = 1000


class _Info(msgspec.Struct):
    service: decoding.Text
    concurrency: decoding.Count


class _Status(msgspec.Struct):
    state: heartbeats.EndpointState
    seq: decoding.Number
    # Remaining warm-up time after the start.
    cold_left_s: decoding.DurationS = 0.0


class _Body(msgspec.Struct):
    address: decoding.Text
    info: _Info
    status: _Status
    # Start of the endpoint, in Unix milliseconds; distinguishes two starts
    # under the same identity.
    born: decoding.Number = 0


def decode_heartbeat(
    endpoint: str, body: bytes
) -> result.Result[heartbeats.Heartbeat, errors.StepError]:
    """Decode the body of a heartbeat.

    Parameters
    ----------
    endpoint : str
        Identity of the endpoint, from the path of the request.
    body : bytes
        JSON body of the request.

    Returns
    -------
    Result
        The heartbeat, or an error that names the faulty field.
    """
    try:
        content = decoding.decode_json(body, _Body)
    except decoding.DecodingError as error:
        return result.Failure(
            errors.StepError("decode heartbeat", endpoint, str(error))
        )
    if content.info.concurrency < 1 or not content.info.service:
        return result.Failure(
            errors.StepError("decode heartbeat", endpoint, "no slots")
        )
    return result.Success(
        heartbeats.Heartbeat(
            endpoint=endpoint,
            incarnation_ms=content.born,
            sequence=content.status.seq,
            service=content.info.service,
            address=content.address,
            slots=content.info.concurrency,
            state=content.status.state,
            warm_up_left_ms=max(
                0, round(content.status.cold_left_s * MS_PER_S)
            ),
        )
    )
