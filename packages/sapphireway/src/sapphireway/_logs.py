"""Structured logs: one event a line, limited per event name."""

import json
import logging as standard_logging
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from absl import flags, logging

from sapphireway._log_stream import LogStream

EVENT_BURST = 20
EVENTS_PER_S = 5.0
STORY_BYTES_PER_S = 16_384  # of what is written of single requests
STORY_BURST_BYTES = 131_072
STDOUT = 1


@dataclass(slots=True)
class _Allowance:
    tokens: float
    refilled_s: float
    suppressed: int = 0


class EventLog:
    """Writes named events with fields to the process's log.

    A name that repeats faster than `EVENTS_PER_S` is suppressed and the number of
    lost lines is written with the next one, so that a fault can't fill a disk.

    Parameters
    ----------
    clock : callable
        Monotonic seconds.
    """

    __slots__ = ("_allowances", "_clock", "_stories")

    def __init__(self, clock: Callable[[], float] = time.monotonic):
        self._allowances = {}
        self._clock = clock
        self._stories = _Allowance(STORY_BURST_BYTES, clock())

    def info(self, event: str, **fields: Any) -> None:
        """Write an event of ordinary operation."""
        self._write(logging.INFO, event, fields)

    def warning(self, event: str, **fields: Any) -> None:
        """Write an event that an operator should know of."""
        self._write(logging.WARNING, event, fields)

    def error(self, event: str, **fields: Any) -> None:
        """Write an event that needs an operator."""
        self._write(logging.ERROR, event, fields)

    def tell(self, event: str, **fields: Any) -> None:
        """Write what became of one request, within a rate of bytes.

        Requests that went wrong come in bursts, so they share bytes, not lines.
        """
        stories = self._stories
        now_s = self._clock()
        earned = (now_s - stories.refilled_s) * STORY_BYTES_PER_S
        stories.tokens = min(STORY_BURST_BYTES, stories.tokens + earned)
        stories.refilled_s = now_s
        size = len(json.dumps(fields, default=str))
        if stories.tokens < size:
            stories.suppressed += 1
            return
        stories.tokens -= size
        if stories.suppressed:
            fields = fields | {"suppressed": stories.suppressed}
            stories.suppressed = 0
        self._emit(logging.INFO, event, fields)

    def _write(self, level, event, fields):
        if level > logging.get_verbosity():
            return
        allowance = self._refill(event)
        if allowance.tokens < 1.0:
            allowance.suppressed += 1
            return
        allowance.tokens -= 1.0
        if allowance.suppressed:
            fields = fields | {"suppressed": allowance.suppressed}
            allowance.suppressed = 0
        self._emit(level, event, fields)

    def _emit(self, level, event, fields):
        extra = {"event": event, "fields": fields}
        logging.get_absl_logger().log(
            logging.converter.absl_to_standard(level), event, extra=extra
        )

    def _refill(self, event):
        now_s = self._clock()
        allowance = self._allowances.get(event)
        if allowance is None:
            allowance = self._allowances[event] = _Allowance(EVENT_BURST, now_s)
        earned = (now_s - allowance.refilled_s) * EVENTS_PER_S
        allowance.tokens = min(EVENT_BURST, allowance.tokens + earned)
        allowance.refilled_s = now_s
        return allowance


def configure_logs(form: str, level: str) -> None:
    """Send the process's log to standard output; its reader holds up nobody.

    Parameters
    ----------
    form : {"json", "text"}
    level : {"debug", "info", "warning", "error"}
    """
    # The settings file takes the place of absl's own command-line flags.
    flags.FLAGS.mark_as_parsed()
    flags.FLAGS.logtostderr = False
    logging.use_absl_handler()
    logging.set_verbosity(level)
    logging.set_stderrthreshold("fatal")
    stream = LogStream(STDOUT)
    logging.get_absl_handler().python_handler.stream = stream
    formatter = _JsonFormatter() if form == "json" else _TextFormatter()
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
