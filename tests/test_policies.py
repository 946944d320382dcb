"""Tests of policy programs."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from snowdock.declarations import Declarations, Policy
from snowdock.errors import DeclarationErrors, PolicyError
from snowdock.policies import PolicySet, compile_program
from snowdock.programs import builtin_programs

VALID_PROGRAM = builtin_programs()["waiting_first.star"]
WORK = {"name": "x", "team": "t", "priority": 1, "waited_seconds": 0, "urgent": False}


def make_declarations(text: str) -> Declarations:
    return Declarations(policies={"batch": Policy("mine.star")}, programs={"mine.star": text})


class TestCompile(unittest.TestCase):
    def test_builtin_programs_compile(self) -> None:
        """Each built-in program passes validation."""
        for name, text in builtin_programs().items():
            with self.subTest(name):
                self.assertEqual(compile_program(name, text).name, name)

    def test_errors_name_the_line(self) -> None:
        """Syntax errors, missing functions, invalid results and endless loops are rejected."""
        endless = "def admit(work):\n    for i in range(1000000000):\n        pass\n"
        cases = {
            VALID_PROGRAM + "\ndef broken(:\n": "mine.star:",
            VALID_PROGRAM.replace("def rank", "def rink"): "rank",
            VALID_PROGRAM.replace("return True", "return 7"): "admit returned 7",
            VALID_PROGRAM.replace('work["priority"]', 'work["nothing"]'): "rank",
            VALID_PROGRAM.replace("def admit(work):\n    return True\n", endless): "cancelled",
        }
        for text, expected in cases.items():
            with self.subTest(expected), self.assertRaises(PolicyError) as caught:
                compile_program("mine.star", text)
            self.assertIn(expected, str(caught.exception))

    @given(st.text(max_size=300))
    def test_invalid_text_raises_policy_error(self, text: str) -> None:
        """Random text raises `PolicyError` and nothing else."""
        with self.assertRaises(PolicyError):
            compile_program("mine.star", text)


class TestPolicySet(unittest.TestCase):
    def setUp(self) -> None:
        self.failures: list = []
        self.policies = PolicySet(self.failures.append)

    def test_runtime_failure_falls_back_to_builtin_program(self) -> None:
        """If a validated program fails in a call, the built-in one is used and it is reported."""
        text = VALID_PROGRAM.replace(
            "return urgent", 'fail("no") if work["name"] == "x" else 0\n    return urgent'
        )
        text = text.replace(
            'fail("no") if work["name"] == "x" else 0',
            'if work["name"] == "x":\n        fail("no")',
        )
        self.policies.replace(make_declarations(text))
        self.assertEqual(self.policies.call("batch", "rank", WORK), 1)
        self.assertEqual(self.failures[0].function, "rank")

    def test_invalid_program_keeps_previous_one(self) -> None:
        """A program that does not compile leaves the previous one in force."""
        self.policies.replace(
            make_declarations(VALID_PROGRAM.replace('work["priority"]', '7 * work["priority"]'))
        )
        self.assertEqual(self.policies.call("batch", "rank", WORK), 7)
        self.policies.replace(make_declarations("nonsense("))
        self.assertEqual(self.policies.call("batch", "rank", WORK), 7)
        self.assertEqual(len(self.failures), 1)

    def test_check_names_the_program(self) -> None:
        """The check of a configuration names a program that does not compile."""
        with self.assertRaises(DeclarationErrors) as caught:
            PolicySet.check(make_declarations("nonsense("))
        self.assertEqual(caught.exception.exceptions[0].file, "mine.star")
