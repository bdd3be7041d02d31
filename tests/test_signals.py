"""A signal that asks a process to end is heard whatever the process does just then.

A stand-in lived on for 43 minutes after a SIGTERM, and a second one did not end it.  Its
handler set an event, which takes the event's lock; the signal had come while the main
thread, about to wait for that event, held the lock, so the handler waited for ever for a
lock of the thread that it ran in.
"""

from __future__ import annotations

import subprocess
import sys

import pytest

#: Says when its handlers are set, and sends itself a SIGTERM at the moment at which a thread
#: is about to wait for an event.
SCRIPT = """
import os, signal, threading

wait, set_handler = threading.Condition.wait, signal.signal

def wait_after_a_signal(self, timeout=None):
    os.kill(os.getpid(), signal.SIGTERM)
    return wait(self, timeout)

def set_and_say(number, handler):
    set_handler(number, handler)
    if number == signal.SIGINT:
        print("ready", flush=True)

from dunlinnotch.standins.common import run_until_signal
threading.Condition.wait = wait_after_a_signal
signal.signal = set_and_say
run_until_signal()
"""
ENDS_S = 10.0


def test_a_stand_in_ends_though_the_signal_comes_as_it_begins_to_wait():
    process = subprocess.Popen([sys.executable, "-c", SCRIPT], stdout=subprocess.PIPE, text=True)
    try:
        assert process.stdout.readline() == "ready\n"
        process.terminate()
        assert process.wait(ENDS_S) == 0
    except subprocess.TimeoutExpired:
        pytest.fail("the process did not end")
    finally:
        process.kill()
        process.wait()
