"""Tests of policy programs."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from snowdock.declarations import Declarations, Policy
from snowdock.errors import DeclarationErrors, PolicyError
from snowdock.policies import PolicyBook, compile_program
from snowdock.programs import shipped_programs

GOOD = shipped_programs()["waiting_first.star"]
WORK = {"name": "x", "team": "t", "priority": 1, "waited_seconds": 0, "urgent": False}


def declare(text: str) -> Declarations:
    return Declarations(policies={"batch": Policy("mine.star")}, programs={"mine.star": text})


class TestCompile(unittest.TestCase):
    def test_shipped_programs_are_good(self) -> None:
        """Each built-in program passes validation."""
        for name, text in shipped_programs().items():
            with self.subTest(name):
                self.assertEqual(compile_program(name, text).name, name)

    def test_mistakes_are_told_with_their_line(self) -> None:
        """Syntax errors, missing functions, invalid results and endless loops are rejected."""
        endless = "def admit(work):\n    for i in range(1000000000):\n        pass\n"
        cases = {
            GOOD + "\ndef broken(:\n": "mine.star:",
            GOOD.replace("def rank", "def rink"): "rank",
            GOOD.replace("return True", "return 7"): "admit returned 7",
            GOOD.replace('work["priority"]', 'work["nothing"]'): "rank",
            GOOD.replace("def admit(work):\n    return True\n", endless): "cancelled",
        }
        for text, told in cases.items():
            with self.subTest(told), self.assertRaises(PolicyError) as caught:
                compile_program("mine.star", text)
            self.assertIn(told, str(caught.exception))

    @given(st.text(max_size=300))
    def test_any_text_is_taken_or_refused_by_type(self, text: str) -> None:
        """Random text raises `PolicyError` and nothing else."""
        with self.assertRaises(PolicyError):
            compile_program("mine.star", text)


class TestPolicyBook(unittest.TestCase):
    def setUp(self) -> None:
        self.alarms: list = []
        self.book = PolicyBook(self.alarms.append)

    def test_a_failure_at_run_time_is_answered_by_the_shipped_program(self) -> None:
        """If a validated program fails in a call, the built-in one is used and it is reported."""
        text = GOOD.replace(
            "return urgent", 'fail("no") if work["name"] == "x" else 0\n    return urgent'
        )
        text = text.replace(
            'fail("no") if work["name"] == "x" else 0',
            'if work["name"] == "x":\n        fail("no")',
        )
        self.book.replace(declare(text))
        self.assertEqual(self.book.call("batch", "rank", WORK), 1)
        self.assertEqual(self.alarms[0].function, "rank")

    def test_an_unusable_text_leaves_the_old_program(self) -> None:
        """A program that does not compile leaves the previous one in force."""
        self.book.replace(declare(GOOD.replace('work["priority"]', '7 * work["priority"]')))
        self.assertEqual(self.book.call("batch", "rank", WORK), 7)
        self.book.replace(declare("nonsense("))
        self.assertEqual(self.book.call("batch", "rank", WORK), 7)
        self.assertEqual(len(self.alarms), 1)

    def test_check_names_the_program(self) -> None:
        """The check of a configuration names a program that does not compile."""
        with self.assertRaises(DeclarationErrors) as caught:
            PolicyBook.check(declare("nonsense("))
        self.assertEqual(caught.exception.exceptions[0].file, "mine.star")
