"""KNOWN-RED.txt: which outcomes of listed tests pass or fail a run, with several processes as in scripts/test.sh."""

import re
import subprocess
import sys
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
RUN = "frostspindle lab soak --seed 5"
BAD, GOOD = "tests/test_a.py::test_bad", "tests/test_b.py::test_good"
FILES = {
    "test_a.py": "def test_bad():\n    assert False\n",
    "test_b.py": "def test_good():\n    pass\n",
    "test_c.py": "import pytest\n@pytest.fixture\ndef broken():\n    raise OSError\n"
    "def test_setup(broken):\n    pass\n",
    "test_d.py": "import pytest\n@pytest.mark.skip\ndef test_skipped():\n    pass\n",
}


@pytest.mark.parametrize(
    "listed, files, chosen, code, says",
    [
        (None, "b", (), 0, "1 passed"),
        (None, "ab", (), 1, "1 failed, 1 passed"),
        ([BAD], "ab", (), 0, f"KNOWN RED: {BAD}: a cause (issue 7)"),
        ([GOOD], "b", (), 1, "1 failed"),
        ([BAD], "b", (), 1, f"{BAD} did not run and fail as listed"),
        ([BAD + "_gone"], "b", (), 1, f"{BAD}_gone did not run and fail as listed"),
        ([BAD], "abc", (), 1, "1 error"),
        (["tests/test_c.py::test_setup"], "bc", (), 1, "test_setup did not run and fail as listed"),
        (["tests/test_d.py::test_skipped"], "bd", (), 1, "test_skipped did not run and fail as listed"),
        ([BAD], "ab", ("tests/test_b.py",), 0, "1 passed"),
        ([BAD], "ab", ("tests/test_a.py",), 0, "1 xfailed"),
        ([BAD + "_gone"], "ab", ("tests/test_b.py", "tests"), 1, "did not run and fail as listed"),
        ([BAD], "ab", ("-k", "good"), 0, "1 passed"),
        ([f"tests/test_a.py::test_{n}" for n in range(4)], "b", (), 4, "4 tests, 3 at most"),
        ([f"{RUN} | a rule | issue 7"], "b", (), 0, f"KNOWN RED RUN: {RUN}: a rule (issue 7)"),
        ([f"{RUN} | a rule | issue 7"], "ab", (), 1, "1 failed, 1 passed"),
        ([f"{RUN} | a rule"], "b", (), 4, "KNOWN-RED.txt:1"),
        ([f"{BAD} (at times)"], "ab", (), 0, f"KNOWN RED: {BAD}: a cause (issue 7)"),
        ([f"{GOOD} (at times)"], "b", (), 0, f"KNOWN RED AT TIMES, passed: {GOOD}: a cause (issue 7)"),
        ([f"{GOOD} (at times)"], "ab", (), 1, "1 failed"),
        ([f"{BAD} (at times)"], "b", (), 1, f"{BAD} did not run and fail as listed"),
        (["tests/test_c.py::test_setup (at times)"], "bc", (), 1, "test_setup did not run and fail as listed"),
        (["tests/test_d.py::test_skipped (at times)"], "bd", (), 1, "test_skipped did not run and fail as listed"),
        ([BAD, f"{BAD} (at times)"], "ab", (), 4, "listed both with and without"),
        ([BAD, BAD], "ab", (), 4, "KNOWN-RED.txt:2"),
        ([f"{BAD} | no issue"], "ab", (), 4, "KNOWN-RED.txt:1"),
    ],
)
def test_only_listed_tests_may_fail(tmp_path, listed, files, chosen, code, says):
    (tmp_path / "tests").mkdir()
    (tmp_path / "pyproject.toml").write_text("[tool.pytest.ini_options]\ntestpaths = ['tests']\n")
    for letter in files:
        (tmp_path / "tests" / f"test_{letter}.py").write_text(FILES[f"test_{letter}.py"])
    if listed is not None:
        lines = [test if " | " in test else f"{test} | a cause | issue 7" for test in listed]
        (tmp_path / "KNOWN-RED.txt").write_text("".join(f"{line}\n" for line in lines))
    done = subprocess.run(
        [sys.executable, "-m", "pytest", "-q", "-p", "scripts.known_red", "-n", "2", "--dist", "loadfile", *chosen],
        cwd=tmp_path,
        capture_output=True,
        text=True,
        timeout=60,
        env={"PYTHONPATH": str(ROOT), "PATH": "/usr/bin:/bin"},
    )
    assert (done.returncode, says in done.stdout + done.stderr) == (code, True), done.stdout + done.stderr
    if code != 4:
        assert re.fullmatch(r"\d+ (passed|failed|xfailed|xpassed).* in [\d.]+s", done.stdout.splitlines()[-1])


def test_the_script_reads_the_list():
    assert "-p scripts.known_red " in (ROOT / "scripts/test.sh").read_text()
