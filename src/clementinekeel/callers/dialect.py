"""Header names and paths of a deployment.

The dialect of a deployment is the set of header names and paths that its
callers, backend servers and platform use over HTTP.
"""

from typing import NamedTuple


class Dialect(NamedTuple):
    """Header names, in lower case, and paths of one deployment.

    Attributes
    ----------
    request_id : bytes
        Identifies one attempt of a caller; repeated in answers of backend
        servers.
    deadline_ms : bytes
        Time in milliseconds for which the sender still waits.
    seal : bytes
        Signature of a backend server; present only in its own answers.
    target : bytes
        Identity of the backend server that must run the request.
    instance : bytes
        Identity of the backend server that answered.
    not_run : bytes
        Present in answers of a backend server that did not run the request.
    retry_after : bytes
        Seconds after which a refused caller may retry the request.
    rate_limit : bytes
        Requests a second that a backend server takes from all nodes together;
        in its answers while it has such a limit.
    leaving : bytes
        States in the answers of a backend server that it is about to stop.
    calling_service : bytes
        Service of the VM from which the request is sent.
    store_epoch : bytes
        Number of the store's history in all its answers; it rises when the
        store returns from a copy, with revisions given out again.
    ready_path : bytes
        Path of the platform's check whether a node accepts requests.
    endpoint_path : bytes
        Prefix of the paths of heartbeats, followed by the identity of the
        endpoint.
    """

    request_id: bytes
    deadline_ms: bytes
    seal: bytes
    target: bytes
    instance: bytes
    not_run: bytes
    retry_after: bytes
    rate_limit: bytes
    leaving: bytes
    calling_service: bytes
    store_epoch: bytes
    ready_path: bytes
    endpoint_path: bytes
