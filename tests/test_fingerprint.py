"""Which requests have the same fingerprint."""

import dataclasses

import pytest
from hypothesis import given
from hypothesis import strategies as st

from dunlinnotch.coordination.requests.fingerprint import fingerprint
from dunlinnotch.protocol.relay import CallerRequest
from dunlinnotch.state.heads import Header

REQUEST = CallerRequest("one", "GET", "/read/a?b=c", "books", (), 0.0, 1.0, 4, "10.0.0.1")


def test_id_headers_and_times_do_not_change_the_fingerprint():
    retry = dataclasses.replace(
        REQUEST,
        request_id="two",
        headers=(Header("a", "b"),),
        arrived=5.0,
        deadline=9.0,
        length=None,
    )
    assert fingerprint(retry, b"body") == fingerprint(REQUEST, b"body")


def matches(change, body=b"body"):
    """Return whether content and origin stay equal after a change."""
    before = fingerprint(REQUEST, b"body")
    after = fingerprint(dataclasses.replace(REQUEST, **change), body)
    return before.content == after.content, before.origin == after.origin


@pytest.mark.parametrize("change", [{"method": "POST"}, {"host": "loans"}, {"path": "/read/b?b=c"}])
def test_method_host_and_path_change_the_fingerprint(change):
    assert matches(change) == (False, False)


def test_the_body_changes_the_fingerprint():
    assert matches({}, b"soul") == (False, False)


def test_content_is_equal_for_other_callers():
    assert matches({"caller": "10.0.0.2"}) == (True, False)


def test_origin_is_equal_for_another_query_of_the_same_caller():
    assert matches({"path": "/read/a?b=d"}) == (False, True)
    assert matches({"path": "/read/a"}) == (False, True)


def test_content_and_origin_of_one_request_differ():
    prints = fingerprint(dataclasses.replace(REQUEST, caller="", path="/read/a"), b"")
    assert prints.content != prints.origin


@given(st.text(max_size=20), st.binary(max_size=20))
def test_any_path_and_body_has_a_fingerprint(path, body):
    for text in fingerprint(dataclasses.replace(REQUEST, path=path), body):
        assert len(text) == 32
        assert int(text, 16) >= 0
