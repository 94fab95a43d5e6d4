import pytest

from sapphireway._operator_token import make_token_reader
from sapphireway_state import read_token

TOKEN = "0123456789abcdef"


@pytest.fixture
def write(tmp_path):
    def write(text, mode):
        path = tmp_path / "token"
        path.write_text(text)
        path.chmod(mode)
        return str(path)

    return write


@pytest.mark.parametrize("mode", [0o600, 0o400])
def test_token_is_read_from_owner_only_file(write, mode):
    assert read_token(write(TOKEN + "\n", mode)) == TOKEN


@pytest.mark.parametrize(
    ("text", "mode", "wrong"),
    [
        (TOKEN, 0o644, "has mode 0644"),
        (TOKEN, 0o620, "has mode 0620"),
        ("short", 0o600, "holds 5 characters"),
        ("é" * 20, 0o600, "cannot be read"),
    ],
)
def test_unsafe_token_file_is_refused(write, text, mode, wrong):
    path = write(text, mode)
    assert wrong in read_token(path).wrong
    events = []
    reader = make_token_reader(path, lambda name, **fields: events.append(name))
    assert reader() is None
    assert events == ["operator_token_refused"]


def test_token_file_is_reread_at_each_call(write):
    path = write(TOKEN, 0o600)
    reader = make_token_reader(path, lambda name, **fields: None)
    assert reader() == TOKEN
    write(TOKEN + "-2", 0o600)
    assert reader() == TOKEN + "-2"
