import json
import logging

from dunlinnotch import _logs
from tests import FakeClock


def records(limit, count, name="route"):
    passed = []
    for _ in range(count):
        record = logging.makeLogRecord({"msg": name, "levelno": logging.INFO, "fields": {}})
        if limit.filter(record):
            passed.append(record)
    return passed


def test_decision_lines_are_limited_and_the_rest_are_counted():
    clock = FakeClock()
    limit = _logs.DecisionLimit(3, clock=clock)
    assert len(records(limit, 10)) == 3
    clock.advance(1.0)
    later = records(limit, 2)
    assert [r.fields.get("left_out") for r in later] == [7, None]


def test_other_lines_are_never_left_out():
    limit = _logs.DecisionLimit(0, clock=FakeClock())
    assert len(records(limit, 5, "settings-edit")) == 5


def test_record_is_one_json_object_on_one_line():
    record = logging.makeLogRecord(
        {"msg": "route", "name": "x", "fields": {"call": "a\nb", "n": 1}}
    )
    line = _logs.JsonFormatter().format(record)
    assert "\n" not in line
    assert json.loads(line)["call"] == "a\nb"
