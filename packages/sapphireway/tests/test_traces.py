import json
import random

import pytest

from sapphireway._traces import CallTracer, JsonLinesExporter, TracedServerClient
from sapphireway_transport.memory import MemoryServer

SAMPLED = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"
NOT_SAMPLED = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-00"


@pytest.fixture
def path(tmp_path):
    return tmp_path / "spans.jsonl"


@pytest.fixture
def tracer(path):
    exporter = JsonLinesExporter(str(path))
    tracer = CallTracer("127.0.0.1:7100", exporter, random.Random(1))
    yield tracer
    tracer.close()


def read_spans(path):
    for line in path.read_text().splitlines():
        (resource,) = json.loads(line)["resourceSpans"]
        yield resource["scopeSpans"][0]["spans"][0]


def test_spans_of_a_call_form_one_trace(tracer, path):
    headers, call = tracer.start_call((("traceparent", SAMPLED),), 0.0, kind="lookup")
    _, run = tracer.start_attempt(headers)
    run.end()
    call.end()
    inner, outer = read_spans(path)
    assert outer["traceId"] == inner["traceId"] == SAMPLED.split("-")[1]
    assert outer["parentSpanId"] == SAMPLED.split("-")[2]
    assert inner["parentSpanId"] == outer["spanId"]
    assert {"key": "kind", "value": {"stringValue": "lookup"}} in outer["attributes"]


@pytest.mark.parametrize(("percent", "traced"), [(0.0, False), (100.0, True)])
def test_share_of_calls_is_traced(tracer, percent, traced):
    headers, span = tracer.start_call((("X", "1"),), percent)
    assert (span is not None) == traced
    assert (len(headers) == 2) == traced


def test_unsampled_context_is_passed_unchanged(tracer):
    given = (("traceparent", NOT_SAMPLED),)
    assert tracer.start_call(given, 0.0) == (given, None)
    assert tracer.start_attempt(given) == (given, None)


def test_traced_client_forwards_connection_limit(tracer):
    server = MemoryServer(random.Random(1))
    TracedServerClient(server, tracer).set_connections_max(7)
    assert server.connections_max == 7


def test_full_disk_drops_spans_and_no_more(path, capfd):
    """A traceback for each span blocks on a slow reader; the stop failed at the end."""
    exporter = JsonLinesExporter("/dev/full")
    tracer = CallTracer("n1", exporter, random.Random(1))
    for _ in range(3):
        tracer.start_call((), 100.0)[1].end()
    # The disk takes writes again.
    exporter._handler.baseFilename = str(path)
    tracer.start_call((), 100.0)[1].end()
    tracer.close()
    assert exporter.dropped == 3
    assert len(path.read_text().splitlines()) == 1
    assert capfd.readouterr().err == ""
