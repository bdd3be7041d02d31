"""Parsing of rows and settings documents: invalid ones are rejected with the field at fault."""

from __future__ import annotations

import copy
import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from dunlinnotch.errors import SettingsError
from dunlinnotch.platform import documents
from tests.stream_world import document

ROW = {
    "address": "10.0.0.1:80",
    "born": 1796261205053,
    "info": {"service": "loans", "version": "v1", "zone": "hall-a", "capacity": 3},
    "status": {"state": "ready", "sequence": 4, "warmup-left": "1500ms"},
}
REMOVED = object()

json_values = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=8),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=8), inner),
    max_leaves=8,
)


def changed(fields, path, value):
    """Return a copy with one field changed or removed."""
    fields = copy.deepcopy(fields)
    parent = fields
    *parent_path, last = path.split(".")
    for step in parent_path:
        parent = parent[int(step) if isinstance(parent, list) else step]
    name = int(last) if isinstance(parent, list) else last
    if value is REMOVED:
        del parent[name]
    else:
        parent[name] = value
    return fields


def paths(fields, parent=""):
    """Return the paths of all fields of a document."""
    pairs = enumerate(fields) if isinstance(fields, list) else fields.items()
    field_paths = []
    for name, value in pairs:
        field_paths.append(f"{parent}{name}")
        if isinstance(value, dict | list):
            field_paths += paths(value, f"{parent}{name}.")
    return field_paths


def test_row_holds_the_start_time_of_its_target():
    target = documents.read_worker("i-1", json.dumps(ROW).encode())
    assert (target.born, target.sequence, target.slow_start_s) == (1796261205053, 4, 1.5)
    without_start = changed(ROW, "born", REMOVED)
    assert documents.read_worker("i-1", json.dumps(without_start).encode()).born == 0


@pytest.mark.parametrize(
    ("path", "value"),
    [
        ("address", "nowhere"),
        ("address", "10.0.0.1:0"),
        ("address", "10.0.0.1:80000"),
        ("address", "::1:80"),
        ("address", "10.0.0.1:²"),
        ("born", "1796261205053"),
        ("born", 1.5),
        ("born", None),
        ("born", True),
        ("born", 0),
        ("info.zone", {"a": 1}),
        ("info.zone", REMOVED),
        ("info.capacity", 0),
        ("info.capacity", 10**9),
        ("info.service", []),
        ("status.sequence", 1 << 80),
        ("status.state", "asleep"),
        ("status.state", ["ready"]),
        ("status.warmup-left", "9" * 400 + "s"),
        ("status.warmup-left", "1500ms\n"),
        ("status", None),
    ],
)
def test_row_error_names_the_invalid_field(path, value):
    data = json.dumps(changed(ROW, path, value)).encode()
    with pytest.raises(SettingsError, match=path.rpartition(".")[2]):
        documents.read_worker("i-1", data)


@pytest.mark.parametrize(
    "data", [b"", b"\xff\xfe", b"[" * 200_000, b'{"a":' * 200_000, b"NaN", b"9" * 5000]
)
@pytest.mark.parametrize("read", [documents.read_document, lambda d: documents.read_worker("i", d)])
def test_invalid_json_is_rejected(read, data):
    with pytest.raises(SettingsError):
        read(data)


@given(st.binary(max_size=200))
def test_arbitrary_bytes_are_parsed_or_rejected(data):
    for read in (documents.read_document, lambda data: documents.read_worker("i-1", data)):
        try:
            read(data)
        except SettingsError:
            continue


@given(st.sampled_from(paths(ROW)), json_values | st.just(REMOVED))
def test_row_with_an_arbitrary_value_is_parsed_or_rejected(path, value):
    try:
        target = documents.read_worker("i-1", json.dumps(changed(ROW, path, value)).encode())
    except SettingsError:
        return
    assert target.slots >= 1
    assert target.born >= 0
    assert 0 <= target.sequence < 1 << 62
    assert isinstance(target.place, str)


@given(st.sampled_from(paths(document(3))), json_values | st.just(REMOVED))
def test_document_with_an_arbitrary_value_is_parsed_or_rejected(path, value):
    fields = changed(document(3), path, value)
    try:
        table = documents.read_document(json.dumps(fields).encode())
    except SettingsError as error:
        assert len(str(error)) < 1000
        return
    assert table.limits.head_bytes > 0
    assert all(kind.timeout >= 0 for kind in table.kinds)
