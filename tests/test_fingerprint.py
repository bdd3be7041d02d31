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
        REQUEST, request_id="two", headers=(Header("a", "b"),), arrived=5.0, deadline=9.0
    )
    assert fingerprint(again, b"body") == fingerprint(REQUEST, b"body")


@pytest.mark.parametrize(
    "change",
    [
        {"caller": "10.0.0.2"},
        {"method": "POST"},
        {"host": "loans"},
        {"path": "/read/a?b=d"},
        {"length": None},
    ],
)
def test_another_caller_or_content_makes_another_request(change):
    other = dataclasses.replace(REQUEST, **change)
    assert fingerprint(other, b"body") != fingerprint(REQUEST, b"body")


def test_another_body_makes_another_request():
    assert fingerprint(REQUEST, b"body") != fingerprint(REQUEST, b"soul")


@given(st.text(max_size=20), st.binary(max_size=20))
def test_any_path_and_body_has_a_fingerprint(path, body):
    text = fingerprint(dataclasses.replace(REQUEST, path=path), body)
    assert len(text) == 32
    assert int(text, 16) >= 0
