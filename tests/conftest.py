"""Fixtures for all tests: an event loop without debug mode, and a scratch folder for unittest cases."""

import asyncio
from pathlib import Path
from typing import Any

import pytest


@pytest.fixture(autouse=True)
def plain_loop(monkeypatch: pytest.MonkeyPatch) -> None:
    """Disable asyncio's debug mode, which unittest's async cases turn on. It records the stack of each call: a test
    under load does two to three times the work, with other timing than the program's own."""
    runner = asyncio.Runner

    def without_debug(debug: bool | None = None, **kw: Any) -> asyncio.Runner:
        return runner(debug=False, **kw)

    monkeypatch.setattr(asyncio, "Runner", without_debug)


@pytest.fixture(autouse=True)
def folder_of_a_case(request: pytest.FixtureRequest, tmp_path: Path) -> None:
    """Set `self.scratch` to a temporary folder, as unittest cases can't take fixtures as arguments."""
    if request.instance is not None:
        request.instance.scratch = tmp_path
