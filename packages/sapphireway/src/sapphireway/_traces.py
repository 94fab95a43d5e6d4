"""Tracing: spans of calls at the entry node and of attempts at the server's node."""

import contextlib
import json
import logging
import logging.handlers
import random
from collections.abc import Callable, Iterable, Sequence
from typing import Any

import msgspec
from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.trace import ReadableSpan, TracerProvider
from opentelemetry.sdk.trace.export import (
    SimpleSpanProcessor,
    SpanExporter,
    SpanExportResult,
)
from opentelemetry.sdk.trace.id_generator import IdGenerator
from opentelemetry.trace import Span, SpanKind
from opentelemetry.trace.propagation.tracecontext import (
    TraceContextTextMapPropagator,
)

from sapphireway_transport import ServerClient, ServerRequest, ServerResult

TRACE_HEADER = "traceparent"
FILE_MAX_BYTES = 64 * 1024 * 1024
BACKUP_FILES = 2
PERCENT = 100.0

Headers = tuple[tuple[str, str], ...]


class CallTracer:
    """Starts spans for a share of the calls and propagates their context.

    Parameters
    ----------
    address : str
        Address of this node, the spans' ``service.instance.id``.
    exporter : SpanExporter
    rng : random.Random
    """

    __slots__ = ("_propagator", "_provider", "_rng", "_tracer")

    def __init__(self, address: str, exporter: SpanExporter, rng: random.Random):
        resource = Resource(
            {"service.name": "sapphireway", "service.instance.id": address}
        )
        self._provider = TracerProvider(
            resource=resource, id_generator=_RandomIds(rng), shutdown_on_exit=False
        )
        self._provider.add_span_processor(SimpleSpanProcessor(exporter))
        self._propagator = TraceContextTextMapPropagator()
        self._rng = rng
        self._tracer = self._provider.get_tracer("sapphireway")

    def start_call(self, headers: Headers, percent: float, **attributes: Any):
        """Start the span of a call at its entry node.

        Parameters
        ----------
        headers : tuple of (str, str)
            Headers of the caller's request.
        percent : float
            Share of calls to trace among those without a sampled context.

        Returns
        -------
        tuple of (headers, Span or None)
            Headers with the span's context, and the span if the call is traced.
        """
        if not _is_sampled(headers) and self._rng.random() * PERCENT >= percent:
            return headers, None
        return self._start("call", SpanKind.SERVER, headers, attributes)

    def start_attempt(self, headers: Sequence[tuple[str, str]], **attributes: Any):
        """Start the span of an attempt at the server's node, if the call is traced.

        Returns
        -------
        tuple of (headers, Span or None)
        """
        if not _is_sampled(headers):
            return headers, None
        return self._start("run", SpanKind.CLIENT, headers, attributes)

    def close(self) -> None:
        """Shut down the tracer and its exporter."""
        self._provider.shutdown()

    def _start(self, name, kind, headers, attributes) -> tuple[Headers, Span]:
        carrier = {key.lower(): value for key, value in headers}
        parent = self._propagator.extract(carrier)
        span = self._tracer.start_span(name, parent, kind, attributes)
        context = span.get_span_context()
        flags = f"{int(context.trace_flags):02x}"
        value = f"00-{context.trace_id:032x}-{context.span_id:016x}-{flags}"
        other_headers = (pair for pair in headers if pair[0].lower() != TRACE_HEADER)
        return (*other_headers, (TRACE_HEADER, value)), span


class _RandomIds(IdGenerator):
    def __init__(self, rng):
        self._rng = rng

    def generate_span_id(self):
        return self._rng.getrandbits(64) or 1

    def generate_trace_id(self):
        return self._rng.getrandbits(128) or 1


class _SpanFile(logging.handlers.RotatingFileHandler):
    """Rotated files that drop what the disk refuses and are opened again after it.

    The base class writes a traceback for each record to standard error, where a slow
    reader would block the process.
    """

    def __init__(self, *args, **kwargs):
        super().__init__(*args, **kwargs)
        self.dropped = 0

    def handleError(self, record):
        self.dropped += 1
        stream, self.stream = self.stream, None
        if stream is not None:
            with contextlib.suppress(OSError):
                stream.close()


class JsonLinesExporter(SpanExporter):
    """Writes spans as OTLP JSON, one export request per line, to rotated files.

    Parameters
    ----------
    path : str or None
        File to write to; None to write none.
    on_span : callable, optional
        Called with each span in its JSON encoding.
    """

    __slots__ = ("_handler", "_on_span")

    def __init__(self, path: str | None, on_span: Callable[[dict], None] | None = None):
        self._handler = None
        if path is not None:
            self._handler = _SpanFile(
                path, maxBytes=FILE_MAX_BYTES, backupCount=BACKUP_FILES, delay=True
            )
        self._on_span = on_span

    @property
    def dropped(self) -> int:
        """Number of spans that the file's disk refused."""
        return 0 if self._handler is None else self._handler.dropped

    def export(self, spans: Sequence[ReadableSpan]) -> SpanExportResult:
        """Write finished spans."""
        for span in spans:
            encoded = encode_span(span)
            if self._on_span is not None:
                self._on_span(encoded)
            if self._handler is not None:
                self._write(span, encoded)
        return SpanExportResult.SUCCESS

    def shutdown(self) -> None:
        """Close the file."""
        if self._handler is not None:
            self._handler.close()

    def _write(self, span, encoded):
        request = {
            "resourceSpans": [
                {
                    "resource": {
                        "attributes": encode_attributes(span.resource.attributes)
                    },
                    "scopeSpans": [
                        {"scope": {"name": "sapphireway"}, "spans": [encoded]}
                    ],
                }
            ]
        }
        line = json.dumps(request, separators=(",", ":"))
        record = logging.makeLogRecord({"msg": "%s", "args": (line,)})
        self._handler.emit(record)


def encode_span(span: ReadableSpan) -> dict:
    """Return a span in the JSON encoding of OTLP."""
    parent = f"{span.parent.span_id:016x}" if span.parent else ""
    return {
        "traceId": f"{span.context.trace_id:032x}",
        "spanId": f"{span.context.span_id:016x}",
        "parentSpanId": parent,
        "name": span.name,
        "kind": span.kind.value + 1,
        "startTimeUnixNano": str(span.start_time),
        "endTimeUnixNano": str(span.end_time),
        "attributes": encode_attributes(span.attributes),
    }


def encode_attributes(attributes) -> list[dict]:
    """Return attributes in the JSON encoding of OTLP."""
    return [
        {"key": key, "value": _encode_value(value)} for key, value in attributes.items()
    ]


def _encode_value(value):
    if isinstance(value, bool):
        return {"boolValue": value}
    if isinstance(value, int):
        return {"intValue": str(value)}
    if isinstance(value, float):
        return {"doubleValue": value}
    return {"stringValue": str(value)}


def _is_sampled(headers: Iterable[tuple[str, str]]) -> bool:
    for key, value in headers:
        if key.lower() == TRACE_HEADER:
            return value.rpartition("-")[2] == "01"
    return False


class TracedServerClient:
    """Server client that records a span for each traced request.

    Parameters
    ----------
    client : ServerClient
    tracer : CallTracer
    """

    __slots__ = ("_client", "_tracer")

    def __init__(self, client: ServerClient, tracer: CallTracer):
        self._client = client
        self._tracer = tracer

    async def send(self, request: ServerRequest) -> ServerResult:
        """Send one request within a span."""
        headers, span = self._tracer.start_attempt(request.headers, url=request.url)
        if span is None:
            return await self._client.send(request)
        try:
            result = await self._client.send(
                msgspec.structs.replace(request, headers=headers)
            )
            span.set_attribute("result", type(result).__name__)
            return result
        finally:
            span.end()

    def set_connections_max(self, connections_max: int) -> None:
        """Set the maximum number of connections."""
        self._client.set_connections_max(connections_max)

    def close(self) -> None:
        """Close all connections."""
        self._client.close()
