"""Tests of signals that arrive while the main thread waits."""

import os
import signal
import threading
import unittest
from collections.abc import Callable

from snowdock.signals import SignalHandlers


class TestSignalHandlers(unittest.TestCase):
    def setUp(self) -> None:
        self.stopping = threading.Event()
        for number in (signal.SIGUSR1, signal.SIGUSR2):
            self.addCleanup(signal.signal, number, signal.getsignal(number))

    def wait_while(self, handlers: SignalHandlers, send: Callable[[], None]) -> None:
        """Wait in the main thread while another thread sends signals; give up after 5 s."""

        def send_signals() -> None:
            send()
            if not self.stopping.wait(5.0):
                self.stopping.set()

        sender = threading.Thread(target=send_signals)
        sender.start()
        handlers.wait_until_set(self.stopping)
        sender.join()

    def test_signal_delivered_to_another_thread_is_never_handled(self) -> None:
        """A function is called although the system delivers the signal to another thread."""
        calls = []

        def stop() -> None:
            calls.append(threading.current_thread())
            self.stopping.set()

        handlers = SignalHandlers({signal.SIGUSR1: stop})
        self.wait_while(
            handlers, lambda: signal.pthread_kill(threading.get_ident(), signal.SIGUSR1)
        )
        self.assertEqual(calls, [threading.main_thread()])

    def test_repeated_signals_block_the_main_thread(self) -> None:
        """Many signals of two kinds are handled, however they interrupt each other."""
        reloads = []
        handlers = SignalHandlers(
            {signal.SIGUSR1: lambda: reloads.append(1), signal.SIGUSR2: self.stopping.set}
        )

        def send() -> None:
            for _ in range(500):
                os.kill(os.getpid(), signal.SIGUSR1)
            os.kill(os.getpid(), signal.SIGUSR2)

        self.wait_while(handlers, send)
        self.assertTrue(reloads)


if __name__ == "__main__":
    unittest.main()
