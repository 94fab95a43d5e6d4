"""Counters, gauges and latency histograms in the Prometheus text format."""

import base64
from collections.abc import Callable

from hdrh.histogram import HdrHistogram

DURATION_MIN_US = 1
DURATION_MAX_US = 120_000_000
SIGNIFICANT_DIGITS = 2
PERCENTILES = (50.0, 90.0, 99.0, 99.9)
US_PER_S = 1_000_000


class Metrics:
    """Stores counters, gauges and latency histograms by name and labels."""

    __slots__ = ("_counters", "_gauges", "_histograms")

    def __init__(self):
        self._counters = {}
        self._gauges = {}
        self._histograms = {}

    def count(self, name: str, amount: int = 1, **labels: str) -> None:
        """Add to a counter."""
        key = (name, tuple(labels.items()))
        self._counters[key] = self._counters.get(key, 0) + amount

    def record(self, name: str, seconds: float, **labels: str) -> None:
        """Add a duration to a histogram."""
        key = (name, tuple(labels.items()))
        histogram = self._histograms.get(key)
        if histogram is None:
            histogram = HdrHistogram(
                DURATION_MIN_US, DURATION_MAX_US, SIGNIFICANT_DIGITS
            )
            self._histograms[key] = histogram
        histogram.record_value(max(DURATION_MIN_US, int(seconds * US_PER_S)))

    def register_gauge(
        self, name: str, read: Callable[[], float], **labels: str
    ) -> None:
        """Register a gauge that is read whenever the metrics are rendered."""
        self._gauges[name, tuple(labels.items())] = read

    def render(self) -> str:
        """Return all metrics in the Prometheus text format."""
        lines = [*self._render_counters(), *self._render_gauges()]
        lines.extend(self._render_histograms())
        return "\n".join(lines) + "\n"

    def export_histograms(self) -> list[dict]:
        """Return all histograms in HdrHistogram's encoding, which can be merged."""
        return [
            {
                "name": name,
                "labels": dict(labels),
                "histogram": histogram.encode().decode(),
            }
            for (name, labels), histogram in self._histograms.items()
        ]

    def _render_counters(self):
        yield from _render_values("counter", self._counters.items())

    def _render_gauges(self):
        values = [(key, read()) for key, read in self._gauges.items()]
        yield from _render_values("gauge", values)

    def _render_histograms(self):
        seen = set()
        for (name, labels), histogram in sorted(self._histograms.items(), key=_get_key):
            if name not in seen:
                seen.add(name)
                yield f"# TYPE {name} summary"
            for percentile in PERCENTILES:
                value_s = histogram.get_value_at_percentile(percentile) / US_PER_S
                with_quantile = (*labels, ("quantile", f"{percentile / 100:g}"))
                yield f"{name}{_render_labels(with_quantile)} {value_s:g}"
            yield f"{name}_count{_render_labels(labels)} {histogram.total_count}"
            total_s = histogram.get_mean_value() * histogram.total_count / US_PER_S
            yield f"{name}_sum{_render_labels(labels)} {total_s:g}"


def decode_histogram(text: str) -> HdrHistogram:
    """Return a histogram from `Metrics.export_histograms`.

    Raises
    ------
    ValueError
        If the text is not an encoded histogram.
    """
    try:
        base64.b64decode(text, validate=True)
        return HdrHistogram.decode(text.encode())
    except Exception as error:
        raise ValueError(f"not an encoded histogram: {error}") from error


def _get_key(item):
    return item[0]


def _render_values(kind, items):
    seen = set()
    for (name, labels), value in sorted(items, key=_get_key):
        if name not in seen:
            seen.add(name)
            yield f"# TYPE {name} {kind}"
        yield f"{name}{_render_labels(labels)} {value:g}"


def _render_labels(labels):
    if not labels:
        return ""
    pairs = ",".join(f'{name}="{_escape(str(value))}"' for name, value in labels)
    return f"{{{pairs}}}"


def _escape(value):
    return value.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")
