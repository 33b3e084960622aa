"""Counters and histograms of a node, as rendered text."""

from clementinekeel.sidecar import metrics


def test_counts_and_latencies_are_rendered():
    node_metrics = metrics.NodeMetrics()
    node_metrics.on_request("throttled", 503, 5, 0.4)
    node_metrics.on_job("answered", 1, 12.0, 80.0)
    node_metrics.on_retry("s", metrics.RetryCause.CALL_OF_RETRY, False)
    text = node_metrics.render([metrics.Sample("queued", {}, 3)]).decode()
    assert 'requests_total{reason="throttled",status="503"} 1' in text
    assert 'request_duration_ms_bucket{le="1.0",rank="5"} 1' in text
    assert 'slot_wait_ms_bucket{le="20.0",rank="1"} 1' in text
    assert "clementinekeel_queued 3" in text
    assert (
        'retries_total{allowed="no",cause="call_of_retry",service="s"} 1'
        in text
    )


def test_two_nodes_in_one_process_do_not_share_counts():
    first, second = metrics.NodeMetrics(), metrics.NodeMetrics()
    first.on_job("answered", 1, 12.0, None)
    assert "answered" not in second.render([]).decode()
