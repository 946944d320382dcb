"""Tests of policy programs."""

import unittest
from unittest import mock

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

    def test_scores_are_cached_by_the_fields_that_are_read(self) -> None:
        """Works and VMs that differ only in other fields share a score, and no others do."""
        vm = {"free_fraction": 0.5, "failure_streak": 0, "slowness": 1.0}
        program = self.policies._current["batch"]
        with mock.patch.object(program, "call", wraps=program.call) as call:
            for work in (WORK, {**WORK, "name": "y"}):
                for slowness in (1.0, 2.0):
                    self.policies.score("batch", work, {**vm, "slowness": slowness})
            self.assertEqual(call.call_count, 1)
            score = self.policies.score("batch", WORK, {**vm, "free_fraction": 0.25})
        self.assertEqual(score, program.call("score", WORK, {**vm, "free_fraction": 0.25}))
        self.assertEqual(call.call_count, 2)

    def test_score_that_passes_an_argument_on_is_cached_by_all_fields(self) -> None:
        """The fields that another function reads are not known."""
        score = "def score(work, vm):"
        text = VALID_PROGRAM.replace(
            score, f'def pick(vm):\n    return vm["slowness"]\n\n{score}\n    return pick(vm)'
        )
        self.policies.replace(make_declarations(text))
        vm = {"free_fraction": 0.5, "failure_streak": 0, "slowness": 1.0}
        self.assertEqual(self.policies.score("batch", WORK, vm), 1.0)
        self.assertEqual(self.policies.score("batch", WORK, {**vm, "slowness": 2.0}), 2.0)

    def test_check_names_the_program(self) -> None:
        """The check of a configuration names a program that does not compile."""
        with self.assertRaises(DeclarationErrors) as caught:
            PolicySet.check(make_declarations("nonsense("))
        self.assertEqual(caught.exception.exceptions[0].file, "mine.star")
