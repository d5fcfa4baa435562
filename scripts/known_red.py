"""Pytest plugin that lets exactly the tests listed in KNOWN-RED.txt fail, and prints them with their cause.

Each line reads `test id | cause | issue`. A listed test that passes, does not exist or did not run fails the run,
and so does a malformed list. A run over selected files expects only the listed tests of these files, and a selection by
name or mark expects none.

A line `test id (at times) | cause | issue` names a test that fails in some runs only, by a traced cause. It may pass or
fail in its body, must run, and is printed in either case.

A line that begins with a command of the program, `frostspindle lab soak --seed N | what was seen | issue`, names a run
that violates a rule and is not fixed yet. It is printed, and allows no test to fail.
"""

from __future__ import annotations

from pathlib import Path

import pytest

FILE, MAX_TESTS = "KNOWN-RED.txt", 3
RUN_PREFIX = "frostspindle "
INTERMITTENT_SUFFIX = " (at times)"


def read(path: Path) -> dict[str, str]:
    """Return the cause and issue of each listed test or run, by test id or command; empty if there is no list.

    Raise UsageError, which ends the run, for a malformed line, a test listed twice, or more than MOST tests.
    """
    listed: dict[str, str] = {}
    lines = path.read_text().splitlines() if path.exists() else []
    for number, line in enumerate(lines, 1):
        parts = [part.strip() for part in line.split(" | ")]
        if len(parts) != 3 or not all(parts) or parts[0] in listed:
            raise pytest.UsageError(f"{FILE}:{number}: not one new `test id | cause | issue`: {line!r}")
        listed[parts[0]] = f"{parts[1]} ({parts[2]})"
    tests = [name.removesuffix(INTERMITTENT_SUFFIX) for name in listed if not name.startswith(RUN_PREFIX)]
    if len(set(tests)) < len(tests):
        raise pytest.UsageError(f"{FILE}: a test is listed both with and without{INTERMITTENT_SUFFIX!r}")
    if len(tests) > MAX_TESTS:
        raise pytest.UsageError(f"{FILE}: {len(tests)} tests, {MAX_TESTS} at most")
    return listed


class KnownRed:
    """Marks the listed tests as expected failures, and checks at the end that each of them failed in its body."""

    def __init__(self, config: pytest.Config) -> None:
        self.config = config
        entries = read(config.rootpath / FILE)
        self.runs = {name: cause for name, cause in entries.items() if name.startswith(RUN_PREFIX)}
        tests = {name: cause for name, cause in entries.items() if name not in self.runs}
        self.intermittent = {
            name.removesuffix(INTERMITTENT_SUFFIX) for name in tests if name.endswith(INTERMITTENT_SUFFIX)
        }
        self.listed = {name.removesuffix(INTERMITTENT_SUFFIX): cause for name, cause in tests.items()}
        self.failed: set[str] = set()  # listed tests that failed in their body
        self.passed: set[str] = set()  # intermittent tests that passed

    def unexpected(self) -> list[str]:
        """Return the listed tests of this run that did not run and fail as listed."""
        as_listed = self.failed | self.passed
        return [test for test in self.listed if self._is_selected(test) and test not in as_listed]

    def _is_selected(self, test: str) -> bool:
        option = self.config.option
        if option.keyword or option.markexpr or option.deselect or getattr(option, "lf", False):
            return False  # such a run excludes tests on purpose
        root, start = self.config.rootpath, self.config.invocation_params.dir
        for argument in self.config.args:
            path, _, name = argument.partition("::")
            selected_path = (start / path).resolve()
            test_path = (root / test.partition("::")[0]).resolve()
            if selected_path == test_path or (not name and selected_path in test_path.parents):
                if not name or f"::{name}" in f"::{test.partition('::')[2]}":
                    return True
        return False

    def pytest_collection_modifyitems(self, items: list[pytest.Item]) -> None:
        """Mark each listed test as an xfail, which is strict unless the test is intermittent: a pass fails the run."""
        for item in items:
            if item.nodeid in self.listed:
                is_strict = item.nodeid not in self.intermittent
                item.add_marker(pytest.mark.xfail(reason=self.listed[item.nodeid], strict=is_strict))

    def pytest_runtest_logreport(self, report: pytest.TestReport) -> None:
        """Record a listed test that failed in its body, not in its setup or teardown, or an intermittent one's pass."""
        if report.nodeid not in self.listed or report.when != "call":
            return
        if report.skipped and hasattr(report, "wasxfail"):
            self.failed.add(report.nodeid)
        elif report.passed and report.nodeid in self.intermittent:
            self.passed.add(report.nodeid)

    @pytest.hookimpl(trylast=True)
    def pytest_sessionfinish(self, session: pytest.Session, exitstatus: int) -> None:
        """Fail an otherwise passing run in which a listed test did not run and fail as listed.

        Workers of pytest-xdist are skipped, as each runs only some of the tests.
        """
        if not hasattr(self.config, "workerinput") and exitstatus == pytest.ExitCode.OK and self.unexpected():
            session.exitstatus = pytest.ExitCode.TESTS_FAILED

    def pytest_terminal_summary(self, terminalreporter: pytest.TerminalReporter) -> None:
        """Print each listed test that failed with its cause, and report each other listed test as an error."""
        for test, cause in self.listed.items():
            if test in self.failed:
                terminalreporter.write_line(f"KNOWN RED: {test}: {cause}")
            elif test in self.passed:
                terminalreporter.write_line(f"KNOWN RED AT TIMES, passed: {test}: {cause}")
        for command, cause in self.runs.items():
            terminalreporter.write_line(f"KNOWN RED RUN: {command}: {cause}")
        for test in self.unexpected():
            terminalreporter.write_line(f"{FILE}: {test} did not run and fail as listed", red=True)


def pytest_configure(config: pytest.Config) -> None:
    """Register the plugin; raise UsageError for a bad list."""
    config.pluginmanager.register(KnownRed(config), "known-red-tests")
