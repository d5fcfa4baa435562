"""Checks the import graph: no module imports a higher layer, and there are no import cycles."""

import ast
from graphlib import CycleError, TopologicalSorter
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[1]
# The layers of packages and single modules, lowest first. Each may import only from lower layers and from itself; this
# includes imports inside functions and for type checking.
ORDER = (
    "policy frostspindle",
    "simulator_adapter",
    "catalogue division handover held_memory ledger pools predicates query_lifetime reserved_descriptor shutdown_plan "
    "signals store telemetry timers",
    "input_memory",
    "config core",
    "host",
    "clock_file effective_config fleet net operator_client operator_tables order shared",
    "replica",
    "ownership",
    "settings",
    "recovery scatter subscriptions",
    "components",
    "descriptor_sharing loop_reports memory_log reload",
    "program",
    "cores",
    "serving",
    "lab",
    "cli",
    "__main__",
)
LAYERS = {unit: place for place, line in enumerate(ORDER) for unit in line.split()}


def module_name(path, root):
    parts = path.relative_to(root).with_suffix("").parts
    return ".".join(parts[:-1] if parts[-1] == "__init__" else parts)


def import_graph(root, *packages):
    """Return the modules that each module imports anywhere in its source."""
    sources = {module_name(path, root): path for package in packages for path in sorted((root / package).rglob("*.py"))}
    edges = {}
    for name, path in sources.items():
        imported = set()
        for node in ast.walk(ast.parse(path.read_text())):
            if isinstance(node, ast.Import):
                imported |= {alias.name for alias in node.names}
            elif isinstance(node, ast.ImportFrom):
                assert node.level == 0, f"{name}: imports are absolute here"
                imported |= {
                    f"{node.module}.{alias.name}" if f"{node.module}.{alias.name}" in sources else node.module
                    for alias in node.names
                }
        edges[name] = {other for other in imported if other in sources and other != name}
    return edges


def unit(name):
    """Return the package or single module under `frostspindle` that a module belongs to."""
    top, _, rest = name.partition(".")
    return rest.partition(".")[0] if top == "frostspindle" and rest else top


def find_violations(edges):
    """Return a text for each violation of the layers."""
    violations = [f"{name}: not listed in ORDER" for name in edges if unit(name) not in LAYERS]
    violations += [
        f"{name} imports {other}, which is not in a lower layer"
        for name, others in edges.items()
        for other in others
        if unit(name) != unit(other) and LAYERS.get(unit(name), 99) <= LAYERS.get(unit(other), 99)
    ]
    try:
        TopologicalSorter(edges).prepare()
    except CycleError as error:
        violations.append(f"import cycle: {' -> '.join(error.args[1])}")
    return sorted(violations)


def test_no_module_imports_a_higher_layer_or_in_a_cycle():
    edges = import_graph(ROOT, "frostspindle")
    assert len(edges) > 70, "the sources were found"
    assert find_violations(edges) == []


@pytest.mark.parametrize(
    "sources, text_part",
    [
        (
            {"core.py": "def f():\n    from frostspindle.net import discovery", "net/discovery.py": ""},
            "core imports frostspindle.net.discovery",
        ),
        (
            {
                "net/a.py": "from frostspindle.net import b",
                "net/b.py": "if TYPE_CHECKING:\n    import frostspindle.net.a",
            },
            "import cycle: ",
        ),
        ({"net/a.py": "import frostspindle.fleet.wire", "fleet/wire.py": ""}, "which is not in a lower layer"),
        ({"newcomer.py": ""}, "newcomer: not listed in ORDER"),
    ],
)
def test_each_kind_of_violation_is_found(tmp_path, sources, text_part):
    for name, text in sources.items():
        path = tmp_path / "frostspindle" / name
        path.parent.mkdir(parents=True, exist_ok=True)
        (path.parent / "__init__.py").touch()
        path.write_text(text)
    assert any(text_part in violation for violation in find_violations(import_graph(tmp_path, "frostspindle")))
