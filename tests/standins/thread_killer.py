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


class ThreadKilled(BaseException):
    """Raised in the thread to be killed."""


def wake_queues() -> None:
    """Wake the threads that wait for a queue without a timeout."""
    for each in gc.get_objects():
        if isinstance(each, Leadership):
            each._epochs.put(0)
        elif isinstance(each, ProgressWriter):
            each._batches.put(Persist(0, ()))


def kill_thread(name: str) -> None:
    """Raise an exception in a thread; a waiting thread gets it when it wakes."""
    for thread in threading.enumerate():
        if thread.name.startswith(name):
            number = ctypes.c_ulong(thread.ident)
            ctypes.pythonapi.PyThreadState_SetAsyncExc(number, ctypes.py_object(ThreadKilled))
            wake_queues()
            return
    print(f"no thread is named {name}", flush=True)


def main() -> None:
    name = sys.argv.pop(1)
    is_leading = threading.Event()
    start = LeaderHandle.start

    def start_and_signal(self, job_offsets, jobs_read_at) -> None:
        start(self, job_offsets, jobs_read_at)
        is_leading.set()

    LeaderHandle.start = start_and_signal

    def kill_when_leading() -> None:
        is_leading.wait()
        time.sleep(0.5)
        kill_thread(name)

    threading.Thread(target=kill_when_leading, daemon=True).start()
    daemon.main()


if __name__ == "__main__":
    main()
