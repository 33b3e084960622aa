"""Names of the headers and paths that a deployment's callers use."""

from typing import NamedTuple


class Dialect(NamedTuple):
    """Header names, in lower case, and paths of one deployment.

    Attributes
    ----------
    request_id : bytes
        Identifies one attempt of a caller; echoed by backend servers.
    deadline_ms : bytes
        Milliseconds for which the sender still waits.
    seal : bytes
        Signature of a backend server; only its own answers carry it.
    target : bytes
        Identity of the backend server that is to run the request.
    instance : bytes
        Identity of the backend server that answered.
    not_run : bytes
        Present in answers of a backend server that did not run a request.
    retry_after : bytes
        Seconds after which a refused caller is to return.
    calling_service : bytes
        Service of the VM on which the request began.
    ready_path : bytes
        Where the platform asks whether a node takes requests.
    endpoint_path : bytes
        Prefix of the paths of heartbeats; the endpoint's identity follows.
    """

    request_id: bytes
    deadline_ms: bytes
    seal: bytes
    target: bytes
    instance: bytes
    not_run: bytes
    retry_after: bytes
    calling_service: bytes
    ready_path: bytes
    endpoint_path: bytes
