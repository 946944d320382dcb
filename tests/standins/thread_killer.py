"""Runs the daemon and, once it is the leader, kills the thread named on the command line."""

import ctypes
import gc
import sys
import threading
import time

from snowdock.entry import daemon
from snowdock.entry.leader_handle import LeaderHandle
from snowdock.entry.leadership import Leadership
from snowdock.entry.progress_writer import ProgressWriter
from snowdock.jobs.events import Persist


class Killed(BaseException):
    """Raised in the thread to be killed."""


def wake_queues() -> None:
    """Wake the threads that wait for a queue without a timeout."""
    for each in gc.get_objects():
        if isinstance(each, Leadership):
            each._epochs.put(0)
        elif isinstance(each, ProgressWriter):
            each._batches.put(Persist(0, ()))


def kill(name: str) -> None:
    """Raise an exception in a thread; a waiting thread gets it when it wakes."""
    for thread in threading.enumerate():
        if thread.name.startswith(name):
            number = ctypes.c_ulong(thread.ident)
            ctypes.pythonapi.PyThreadState_SetAsyncExc(number, ctypes.py_object(Killed))
            wake_queues()
            return
    print(f"no thread is named {name}", flush=True)


def main() -> None:
    name = sys.argv.pop(1)
    leads = threading.Event()
    start = LeaderHandle.start

    def start_and_tell(self, job_offsets) -> None:
        start(self, job_offsets)
        leads.set()

    LeaderHandle.start = start_and_tell

    def kill_once_it_leads() -> None:
        leads.wait()
        time.sleep(0.5)
        kill(name)

    threading.Thread(target=kill_once_it_leads, daemon=True).start()
    daemon.main()


if __name__ == "__main__":
    main()
