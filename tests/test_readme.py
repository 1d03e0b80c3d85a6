"""The example in the README runs."""

from __future__ import annotations

import pathlib
import re


def test_example_runs() -> None:
    text = (pathlib.Path(__file__).parent.parent / "README.md").read_text()
    blocks = re.findall(r"```python\n(.*?)```", text, re.S)
    assert len(blocks) == 1
    exec(compile(blocks[0], "README.md", "exec"), {})
