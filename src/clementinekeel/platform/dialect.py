"""Header names and paths of the users' platform."""

from clementinekeel.callers import dialect

DIALECT = dialect.Dialect(
    request_id=b"request-id",
    deadline_ms=b"request-deadline",
    seal=b"response-seal",
    target=b"target-instance",
    instance=b"instance-id",
    not_run=b"not-executed",
    retry_after=b"retry-after",
    rate_limit=b"server-limit",
    leaving=b"server-leaving",
    calling_service=b"caller-service",
    store_epoch=b"store-era",
    ready_path=b"/clementinekeel/readiness",
    endpoint_path=b"/clementinekeel/instances/",
)
