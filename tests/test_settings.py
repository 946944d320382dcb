"""Tests of a node's settings and of their reference page."""

import tempfile
import unittest

import msgspec

from snowdock.errors import SettingsErrors
from snowdock.settings import (
    ClientSettings,
    NodeSettings,
    PlatformSettings,
    SecuritySettings,
    TimingSettings,
    read_settings,
)
from tests.standins.cluster import ROOT

VALID_SETTINGS = "[node]\nname = n\nhall = h\napi = 127.0.0.1:0\npeer = 127.0.0.1:1\n"
VALID_SETTINGS += "[platform]\nlog = http://127.0.0.1:1\nvms = http://127.0.0.1:1\n"


def read(text: str):
    with tempfile.NamedTemporaryFile("w", suffix=".ini") as file:
        file.write(text)
        file.flush()
        return read_settings(file.name)


class TestReadSettings(unittest.TestCase):
    def test_defaults(self) -> None:
        """Settings that are not in the file have their defaults."""
        self.assertEqual(read(VALID_SETTINGS).timing, TimingSettings())

    def test_every_mistake_is_named(self) -> None:
        """All errors are reported at once, with section and key."""
        text = (
            VALID_SETTINGS.replace("127.0.0.1:0", "somewhere")
            + "[timing]\npoll_ms = 0\nx = 1\n[y]\n"
        )
        with self.assertRaises(SettingsErrors) as caught:
            read(text)
        found = {(e.section, e.key) for e in caught.exception.exceptions}
        expected = {("node", "api"), ("timing", "poll_ms"), ("timing", "x"), ("y", "")}
        self.assertEqual(found, expected)

    def test_a_missing_file_is_a_mistake(self) -> None:
        """An unreadable file raises `SettingsErrors`."""
        with self.assertRaises(SettingsErrors):
            read_settings("/nonexistent/node.ini")

    def test_settings_page_lists_every_default(self) -> None:
        """The reference page lists the defaults that the code has."""
        page = (ROOT / "docs" / "settings.md").read_text(encoding="utf-8")
        for model in (
            NodeSettings,
            PlatformSettings,
            TimingSettings,
            ClientSettings,
            SecuritySettings,
        ):
            for field in msgspec.structs.fields(model):
                default = "needed" if field.required else f"`{field.default}`"
                if field.default == "":
                    default = "none"
                self.assertIn(f"| `{field.name}` | {default} |", page)
