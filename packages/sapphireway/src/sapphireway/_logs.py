"""Structured logs: one event per line, rate-limited per event name."""

import json
import logging as standard_logging
import time
from collections.abc import Callable
from typing import Any

import msgspec
from absl import flags, logging

from sapphireway._log_stream import LogStream

EVENT_BURST = 20
EVENTS_PER_S = 5.0
REQUEST_BYTES_PER_S = 16_384  # for all events of single requests together
REQUEST_BURST_BYTES = 131_072
SUBMISSION_BYTES_PER_S = 8_192  # for the events of all keyed requests together
SUBMISSION_BURST_BYTES = 65_536
STDOUT = 1


class _TokenBucket(msgspec.Struct):
    tokens: float
    refilled_s: float
    suppressed: int = 0


class EventLog:
    """Writes named events with fields to the process's log.

    Events of one name beyond `EVENTS_PER_S` are suppressed, so that a fault can't
    fill the disk. Their number is written with the next event of that name.

    Parameters
    ----------
    clock : callable
        Monotonic seconds.
    """

    __slots__ = ("_buckets", "_clock", "_request_bucket", "_submission_bucket")

    def __init__(self, clock: Callable[[], float] = time.monotonic):
        self._buckets = {}
        self._clock = clock
        self._request_bucket = _TokenBucket(REQUEST_BURST_BYTES, clock())
        self._submission_bucket = _TokenBucket(SUBMISSION_BURST_BYTES, clock())

    def info(self, event: str, **fields: Any) -> None:
        """Write an event of ordinary operation."""
        self._write(logging.INFO, event, fields)

    def warning(self, event: str, **fields: Any) -> None:
        """Write an event that an operator should know about."""
        self._write(logging.WARNING, event, fields)

    def error(self, event: str, **fields: Any) -> None:
        """Write an event that an operator has to act on."""
        self._write(logging.ERROR, event, fields)

    def log_request(self, event: str, **fields: Any) -> None:
        """Write an event of a single request, limited by a byte rate.

        Failed requests come in bursts, so all of them share one limit, in bytes
        instead of lines.
        """
        self._write_limited(
            self._request_bucket,
            REQUEST_BYTES_PER_S,
            REQUEST_BURST_BYTES,
            event,
            fields,
        )

    def log_submission(self, event: str, **fields: Any) -> None:
        """Write an event of a request with an idempotency key, limited by a byte rate.

        Most of these requests succeed, so they must not use up the limit of failures.
        """
        self._write_limited(
            self._submission_bucket,
            SUBMISSION_BYTES_PER_S,
            SUBMISSION_BURST_BYTES,
            event,
            fields,
        )

    def _write_limited(self, bucket, bytes_per_s, burst_bytes, event, fields):
        now_s = self._clock()
        refilled = (now_s - bucket.refilled_s) * bytes_per_s
        bucket.tokens = min(burst_bytes, bucket.tokens + refilled)
        bucket.refilled_s = now_s
        size = len(json.dumps(fields, default=str))
        if bucket.tokens < size:
            bucket.suppressed += 1
            return
        bucket.tokens -= size
        if bucket.suppressed:
            fields = fields | {"suppressed": bucket.suppressed}
            bucket.suppressed = 0
        self._emit(logging.INFO, event, fields)

    def _write(self, level, event, fields):
        if level > logging.get_verbosity():
            return
        bucket = self._refill(event)
        if bucket.tokens < 1.0:
            bucket.suppressed += 1
            return
        bucket.tokens -= 1.0
        if bucket.suppressed:
            fields = fields | {"suppressed": bucket.suppressed}
            bucket.suppressed = 0
        self._emit(level, event, fields)

    def _emit(self, level, event, fields):
        extra = {"event": event, "fields": fields}
        logging.get_absl_logger().log(
            logging.converter.absl_to_standard(level), event, extra=extra
        )

    def _refill(self, event):
        now_s = self._clock()
        bucket = self._buckets.get(event)
        if bucket is None:
            bucket = self._buckets[event] = _TokenBucket(EVENT_BURST, now_s)
        refilled = (now_s - bucket.refilled_s) * EVENTS_PER_S
        bucket.tokens = min(EVENT_BURST, bucket.tokens + refilled)
        bucket.refilled_s = now_s
        return bucket


def configure_logs(format_name: str, level: str) -> None:
    """Send the process's log to standard output without blocking on its reader.

    Parameters
    ----------
    format_name : {"json", "text"}
    level : {"debug", "info", "warning", "error"}
    """
    # Settings come from a file instead of absl's command-line flags.
    flags.FLAGS.mark_as_parsed()
    flags.FLAGS.logtostderr = False
    logging.use_absl_handler()
    logging.set_verbosity(level)
    logging.set_stderrthreshold("fatal")
    stream = LogStream(STDOUT)
    logging.get_absl_handler().python_handler.stream = stream
    formatter = _JsonFormatter() if format_name == "json" else _TextFormatter()
    logging.get_absl_handler().setFormatter(formatter)


class _JsonFormatter(standard_logging.Formatter):
    def format(self, record):
        line = {
            "time": self._format_time(record),
            "level": record.levelname.lower(),
            "event": getattr(record, "event", "message"),
        }
        if line["event"] == "message":
            line["message"] = record.getMessage()
        line.update(getattr(record, "fields", {}))
        if record.exc_info:
            line["traceback"] = self.formatException(record.exc_info)
        return json.dumps(line, default=str)

    def _format_time(self, record):
        seconds = self.formatTime(record, "%Y-%m-%dT%H:%M:%S")
        return f"{seconds}.{int(record.msecs):03d}"


class _TextFormatter(standard_logging.Formatter):
    def format(self, record):
        head = f"{self.formatTime(record)} {record.levelname.lower()}"
        fields = getattr(record, "fields", {})
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        line = f"{head} {record.getMessage()} {text}".rstrip()
        if record.exc_info:
            line += "\n" + self.formatException(record.exc_info)
        return line
