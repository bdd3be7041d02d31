"""A process ends on SIGTERM at whatever point of the main thread the signal arrives.

A handler that sets an event deadlocks if the main thread holds the lock of that event.
"""

from __future__ import annotations

import subprocess
import sys

import pytest

#: Prints "ready" once its handlers are set, and sends itself SIGTERM whenever a thread is
#: about to wait for an event.
SCRIPT = """
import os, signal, threading

wait, set_handler = threading.Condition.wait, signal.signal

def wait_after_a_signal(self, timeout=None):
    os.kill(os.getpid(), signal.SIGTERM)
    return wait(self, timeout)

def set_and_report(number, handler):
    set_handler(number, handler)
    if number == signal.SIGINT:
        print("ready", flush=True)

from dunlinnotch.standins.common import run_until_signal
threading.Condition.wait = wait_after_a_signal
signal.signal = set_and_report
run_until_signal()
"""
EXIT_TIMEOUT_S = 10.0


def test_a_stand_in_ends_on_a_signal_that_arrives_as_it_begins_to_wait():
    process = subprocess.Popen([sys.executable, "-c", SCRIPT], stdout=subprocess.PIPE, text=True)
    try:
        assert process.stdout.readline() == "ready\n"
        process.terminate()
        assert process.wait(EXIT_TIMEOUT_S) == 0
    except subprocess.TimeoutExpired:
        pytest.fail("the process did not end after SIGTERM")
    finally:
        process.kill()
        process.wait()
