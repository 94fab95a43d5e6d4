import pytest

from sapphireway_state import Invalid, check_file, format_problem, load_process_settings

VALID = """\
address: 127.0.0.1:7100
http_address: 127.0.0.1:8080
admin_address: "[::1]:9090"
domain: bxl-a
region: be-central
data_folder: data
control_hosts: [127.0.0.1:7100]
"""


@pytest.fixture
def write(tmp_path):
    def write(text):
        path = tmp_path / "node.yaml"
        path.write_text(text)
        return path

    return write


def test_relative_paths_are_resolved_against_file_folder(write):
    path = write(VALID + "token_file: /run/token\n")
    settings = load_process_settings(path)
    assert settings.data_folder == str(path.parent / "data")
    assert settings.token_file == "/run/token"
    assert settings.control_hosts == ("127.0.0.1:7100",)
    assert settings.control is False


@pytest.mark.parametrize(
    ("before", "after", "wrong", "allowed"),
    [
        ("domain: bxl-a\n", "", ":1: domain: is missing", "1 to 128"),
        ("domain: bxl-a", "domain: 5", ":4: domain: 5 is not a string", "1 to 128"),
        (
            ":8080",
            ":99999",
            "http_address: '127.0.0.1:99999' is not valid",
            "port 1 to",
        ),
        ("address: 127.0.0.1:7", "address: localhost:7", "'localhost:7100'", "IP num"),
        (
            '"[::1]:9090"',
            "'::1:9090'",
            "admin_address: '::1:9090' is not valid",
            "[::1]",
        ),
        (":8080", ":7100", "http_address: '127.0.0.1:7100' is in use", "of its own"),
        ("[127.0.0.1:7100]", "[]", "control_hosts: [] is not valid", "list of 1 to 7"),
        ("control_hosts: [127.0.0.1:7100]\n", "", "control_hosts: is missing", "list"),
        ("region", "regoin", ":5: regoin: unknown key", "any of address"),
        (VALID[-15:], VALID[-15:] + "log_level: loud\n", "log_level: 'loud'", "debug"),
        (VALID[-15:], VALID[-15:] + "bootstrap: true\n", "bootstrap: is set", "false"),
        (
            VALID[-15:],
            VALID[-15:] + "journal_max_bytes: 5000000\n",
            "journal_compact_bytes: 4194304 is more than half",
            "at most half of journal_max_bytes",
        ),
        (
            "[127.0.0.1:7100]",
            "[127.0.0.2:7100]\ncontrol: true",
            "lacks this control host's own address",
            "this one's too",
        ),
    ],
)
def test_invalid_file_is_reported_with_location_and_allowed_values(
    write, before, after, wrong, allowed
):
    path = write(VALID.replace(before, after, 1))
    result = load_process_settings(path)
    assert isinstance(result, Invalid)
    lines = [format_problem(problem) for problem in result.problems]
    found = [line for line in lines if wrong in line and allowed in line]
    assert found, lines
    assert found[0].startswith(str(path))
    assert check_file(path) == list(result.problems)


def test_check_file_treats_other_files_as_trees(write):
    assert check_file(write("weight: 5\n")) == []
    assert check_file(write("weight: 500\n"))[0].path == "weight"
