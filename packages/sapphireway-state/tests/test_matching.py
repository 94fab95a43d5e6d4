import pytest

from sapphireway_state import SettingsView, parse_tree

TREE = """
services:
  root:
    match: {path_prefixes: [/]}
  ledger:
    match: {path_prefixes: [/ledger], hosts: [ledger.example]}
    kinds:
      any-get: {match: {methods: [GET]}}
      balance: {match: {methods: [GET], paths: [/ledger/balances/*]}}
      any-balance: {match: {paths: [/ledger/balances/*]}}
      total: {match: {methods: [GET], paths: [/ledger/balances/total]}}
      deep: {match: {methods: [GET], paths: [/ledger/balances/**]}}
      unmatched: {weight: 5}
  archive:
    match: {path_prefixes: [/ledger/archive/]}
  hidden: {}
"""


@pytest.fixture(scope="module")
def view():
    return SettingsView(parse_tree(TREE).value, 1)


@pytest.mark.parametrize(
    ("method", "target", "headers", "found"),
    [
        ("GET", "/ledger/balances/12?x=/a", [], ("ledger", "balance")),
        ("GET", "/ledger/balances/total", [], ("ledger", "total")),
        ("GET", "/ledger/balances/12/3", [], ("ledger", "deep")),
        ("GET", "/ledger/balances", [], ("ledger", "deep")),
        ("PUT", "/ledger/balances/12", [], ("ledger", "any-balance")),
        ("PUT", "/ledger/balances/total", [], ("ledger", "any-balance")),
        ("GET", "/ledger", [], ("ledger", "any-get")),
        ("PUT", "/ledger", [], ("ledger", "other")),
        ("PUT", "/ledgers", [], ("root", "other")),
        ("GET", "/ledger/archive", [], ("archive", "other")),
        ("GET", "/ledger/archive/2/3/4/5/6/7", [], ("archive", "other")),
        ("GET", "/", [], ("root", "other")),
        ("GET", "/x", [("Host", "LEDGER.example:80")], ("ledger", "any-get")),
        ("GET", "/x", [("Sapphireway-Service", "hidden")], ("hidden", "other")),
        ("GET", "/ledger", [("sapphireway-service", "nobody")], None),
    ],
)
def test_match_finds_most_specific(view, method, target, headers, found):
    assert view.match(method, target, headers) == found


def test_match_without_services_finds_nothing():
    assert SettingsView({}, 0).match("GET", "/x", []) is None
