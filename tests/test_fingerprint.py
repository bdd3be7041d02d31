"""Which requests count as the same one, asked again."""

import dataclasses

import pytest
from hypothesis import given
from hypothesis import strategies as st

from dunlinnotch.coordination.requests.fingerprint import fingerprint
from dunlinnotch.protocol.relay import CallerRequest
from dunlinnotch.state.heads import Header

REQUEST = CallerRequest("one", "GET", "/read/a?b=c", "books", (), 0.0, 1.0, 4, "10.0.0.1")


def test_another_id_header_or_time_makes_no_other_request():
    again = dataclasses.replace(
        REQUEST,
        request_id="two",
        headers=(Header("a", "b"),),
        arrived=5.0,
        deadline=9.0,
        length=None,
    )
    assert fingerprint(again, b"body") == fingerprint(REQUEST, b"body")


def same(change, body=b"body"):
    """Return whether content and origin are the same after a change."""
    before = fingerprint(REQUEST, b"body")
    after = fingerprint(dataclasses.replace(REQUEST, **change), body)
    return before.content == after.content, before.origin == after.origin


@pytest.mark.parametrize("change", [{"method": "POST"}, {"host": "loans"}, {"path": "/read/b?b=c"}])
def test_another_content_makes_another_request(change):
    assert same(change) == (False, False)


def test_another_body_makes_another_request():
    assert same({}, b"soul") == (False, False)


def test_the_same_content_is_known_again_from_another_caller():
    assert same({"caller": "10.0.0.2"}) == (True, False)


def test_the_same_caller_s_request_is_known_again_with_another_query():
    assert same({"path": "/read/a?b=d"}) == (False, True)
    assert same({"path": "/read/a"}) == (False, True)


def test_content_and_origin_are_never_mistaken_for_each_other():
    known = fingerprint(dataclasses.replace(REQUEST, caller="", path="/read/a"), b"")
    assert known.content != known.origin


@given(st.text(max_size=20), st.binary(max_size=20))
def test_any_path_and_body_has_a_fingerprint(path, body):
    for text in fingerprint(dataclasses.replace(REQUEST, path=path), body):
        assert len(text) == 32
        assert int(text, 16) >= 0
