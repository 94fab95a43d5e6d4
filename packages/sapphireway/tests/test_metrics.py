import pytest

from sapphireway._metrics import Metrics, decode_histogram


@pytest.fixture
def metrics():
    return Metrics()


def test_counter_is_rendered_with_labels(metrics):
    metrics.count("calls_total", kind='a"b')
    metrics.count("calls_total", 2, kind='a"b')
    assert '# TYPE calls_total counter\ncalls_total{kind="a\\"b"} 3' in metrics.render()


def test_gauge_is_read_when_rendered(metrics):
    values = [1.0]
    metrics.register_gauge("version", lambda: values[0])
    values[0] = 7.0
    assert "version 7" in metrics.render()


def test_histogram_is_rendered_as_summary(metrics):
    for ms in range(1, 101):
        metrics.record("call_seconds", ms / 1000, kind="lookup")
    text = metrics.render()
    assert 'call_seconds_count{kind="lookup"} 100' in text
    (line,) = (x for x in text.splitlines() if 'quantile="0.5"' in x)
    assert float(line.split()[-1]) == pytest.approx(0.050, rel=0.02)


def test_histograms_of_two_nodes_merge(metrics):
    other = Metrics()
    metrics.record("call_seconds", 0.010)
    other.record("call_seconds", 0.020)
    merged = decode_histogram(metrics.export_histograms()[0]["histogram"])
    merged.add(decode_histogram(other.export_histograms()[0]["histogram"]))
    assert merged.get_total_count() == 2


def test_damaged_histogram_raises_value_error():
    with pytest.raises(ValueError, match="not an encoded histogram"):
        decode_histogram("!")
