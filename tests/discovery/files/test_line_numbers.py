"""Tests of the line numbers of values in JSON5 texts."""

from __future__ import annotations

from saffronstack.discovery.files.line_numbers import find_line, locate_values

TEXT = """{ // a comment: {"x"}
  workers: [
    { id: "a", /* ] */ size: 1 },
    {
      "id": "b",
      size: 99 } ] }"""


def test_values_are_located_through_comments_and_quotes() -> None:
    lines = locate_values(TEXT)
    assert lines["workers"] == 2
    assert lines["workers[0].size"] == 3
    assert (lines["workers[1]"], lines["workers[1].id"], lines["workers[1].size"]) == (4, 5, 6)


def test_an_unknown_path_has_the_line_of_its_nearest_parent() -> None:
    assert find_line(TEXT, "workers[1].address") == 4
    assert find_line(TEXT, "workers[7].address") == 2
    assert find_line(TEXT, "generation") == 1
