"""Days that are drawn around those of their files."""

import importlib.util
import pathlib
import tempfile
import tomllib
import unittest
from unittest import mock

ROOT = pathlib.Path(__file__).parent.parent
_SPEC = importlib.util.spec_from_file_location("play_days", ROOT / "deploy" / "play_days.py")
play_days = importlib.util.module_from_spec(_SPEC)
_SPEC.loader.exec_module(play_days)


class TestDrawnDays(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        patch = mock.patch.object(play_days, "_DRAWN", pathlib.Path(folder.name))
        patch.start()
        self.addCleanup(patch.stop)

    def draw(self, day: pathlib.Path, seed: int | None, class_name: str = "") -> dict:
        return tomllib.loads(play_days.draw_day(day, seed, class_name).read_text())

    def test_every_day_can_be_drawn(self) -> None:
        """What is drawn is valid, one seed draws one day, and only moments and shares change."""
        for day in sorted((ROOT / "deploy" / "days").glob("*.toml")):
            with self.subTest(day.stem):
                before = tomllib.loads(day.read_text())
                drawn = self.draw(day, 1)
                self.assertEqual(drawn, self.draw(day, 1))
                self.assertEqual(self.draw(day, None), before)
                for original, changed in zip(before["faults"], drawn["faults"], strict=True):
                    kept = original.keys() - {"at", "share"}
                    self.assertEqual(original.keys(), changed.keys())
                    self.assertEqual(
                        {key: changed[key] for key in kept}, {k: original[k] for k in kept}
                    )
                    self.assertLessEqual(abs(changed["at"] - original["at"]), 4.0)
                    self.assertLessEqual(changed.get("share", 0), 1.0)

    def test_class_is_replaced(self) -> None:
        """Troubles that name a class of requests name the one that is asked for."""
        drawn = self.draw(ROOT / "deploy" / "days" / "deadly-task.toml", None, "other")
        self.assertEqual([each.get("class") for each in drawn["faults"]], ["other", None])


if __name__ == "__main__":
    unittest.main()
