"""Request kinds are matched by host and longest prefix, and shared by weight."""

from __future__ import annotations

import pytest

from dunlinnotch.state.routes import CallerLimits, RequestKind, RouteTable, ServiceShare


def kind(name, prefix, *, host="a.example", shares=(("s", 1.0),)):
    return RequestKind(
        name=name,
        host=host,
        prefix=prefix,
        idempotent=True,
        upload=False,
        timeout=1.0,
        target_latency=0.1,
        attempts=2,
        rank=1,
        shares=tuple(ServiceShare(*share) for share in shares),
    )


TABLE = RouteTable(
    1,
    (kind("short", "/a/"), kind("long", "/a/b/"), kind("other", "/a/", host="b.example")),
    {},
    CallerLimits(),
)


@pytest.mark.parametrize(
    ("host", "path", "name"),
    [
        ("a.example", "/a/x", "short"),
        ("a.example", "/a/b/x", "long"),
        ("a.example", "/a/b", "short"),
        ("A.Example:8080", "/a/b/?q=/c/", "long"),
        ("b.example", "/a/b/", "other"),
        ("c.example", "/a/", None),
        ("a.example", "/c/", None),
        ("a.example", "/x?y=/a/", None),
    ],
)
def test_the_longest_prefix_of_the_host_matches(host, path, name):
    matched = TABLE.match(host, path)
    assert (None if matched is None else matched.name) == name


def test_services_are_selected_by_weight():
    split = kind("k", "/", shares=(("x", 90), ("y", 10), ("z", 0)))
    services = [split.service_at((n * 0.6180339887498949) % 1.0) for n in range(1000)]
    assert 890 <= services.count("x") <= 910
    assert services.count("z") == 0


@pytest.mark.parametrize("point", [0.0, 0.5, 0.9999999999999999, 1.0])
def test_each_point_has_a_service(point):
    assert kind("k", "/", shares=(("x", 0), ("y", 1))).service_at(point) == "y"
