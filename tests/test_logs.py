"""The rate of decision events is limited, and each record is one JSON line."""

import json
import logging

from dunlinnotch import _logs
from tests import FakeClock


def filtered(limit, count, name="route"):
    passed = []
    for _ in range(count):
        record = logging.makeLogRecord({"msg": name, "levelno": logging.INFO, "fields": {}})
        if limit.filter(record):
            passed.append(record)
    return passed


def test_decision_events_are_limited_and_those_left_out_counted():
    clock = FakeClock()
    limit = _logs.DecisionLimit(3, clock=clock)
    assert len(filtered(limit, 10)) == 3
    clock.advance(1.0)
    later = filtered(limit, 2)
    assert [r.fields.get("left_out") for r in later] == [7, None]


def test_other_events_are_never_left_out():
    limit = _logs.DecisionLimit(0, clock=FakeClock())
    assert len(filtered(limit, 5, "settings-edit")) == 5


def test_record_is_one_json_object_on_one_line():
    record = logging.makeLogRecord(
        {"msg": "route", "name": "x", "fields": {"call": "a\nb", "n": 1}}
    )
    line = _logs.JsonFormatter().format(record)
    assert "\n" not in line
    assert json.loads(line)["call"] == "a\nb"
