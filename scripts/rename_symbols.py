"""Rename modules, module-level symbols and members over the whole tree, by syntax and not by text.

Usage: `python scripts/rename_symbols.py PLAN`, from the project's root. The plan has one rule a line:

    module  frostspindle.net.discovery = frostspindle.net.discovery
    alias   frostspindle.net.discovery = frostspindle.net.discovery
    symbol  frostspindle.core.ClientRequest = ClientRequest
    member  settle = on_response [in GLOB ...]
    name    ask = request in GLOB ...

`alias` rewrites imports like `module` but moves no file. `symbol` follows imports and re-exports, `member` renames
attributes, keyword arguments, fields and methods of that name, `name` also variables and parameters. Files are moved
with `git mv`. A warning is printed for each file where the new name existed before. Strings, comments and documents are
not changed.
"""

from __future__ import annotations

import fnmatch
import re
import subprocess
import sys
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, field
from functools import partial
from pathlib import Path

import libcst as cst
from libcst.metadata import MetadataWrapper, QualifiedNameProvider, QualifiedNameSource

SKIPPED_FOLDERS = {"journal", ".venv", ".ci-venv", "build", ".git"}


@dataclass(frozen=True)
class MemberRule:
    """A rename of members, or with `variables` of every identifier, in the files that match a pattern."""

    old: str
    new: str
    patterns: tuple[str, ...]
    variables: bool

    def covers(self, path: Path) -> bool:
        """Whether the rule applies to a file, given relative to the root."""
        return not self.patterns or any(fnmatch.fnmatch(str(path), pattern) for pattern in self.patterns)


@dataclass
class Plan:
    """All rules of one run, keyed by the old dotted name."""

    modules: dict[str, str] = field(default_factory=dict)
    moves: dict[str, str] = field(default_factory=dict)  # the subset of modules whose files move
    symbols: dict[str, str] = field(default_factory=dict)
    members: list[MemberRule] = field(default_factory=list)
    exports: dict[str, str] = field(default_factory=dict)  # re-exported dotted name: its origin

    def renamed_module(self, name: str) -> str:
        """Return the new name of a module, or of one below a renamed package."""
        for old, new in self.modules.items():
            if name == old or name.startswith(f"{old}."):
                return new + name[len(old) :]
        return name

    def renamed_symbol(self, name: str) -> str | None:
        """Return the new last component of a dotted name, following re-exports; None if it keeps its name."""
        for _ in range(5):
            if name in self.symbols:
                return self.symbols[name]
            if name not in self.exports:
                return None
            name = self.exports[name]
        return None


def read_plan(text: str) -> Plan:
    """Parse a plan; raise ValueError with the first invalid line."""
    plan = Plan()
    for line in text.splitlines():
        words = line.split("#")[0].split()
        if not words:
            continue
        if len(words) < 4 or words[2] != "=":
            raise ValueError(f"not a rule: {line!r}")
        kind, old, _, new, *rest = words
        if kind in ("module", "alias"):
            plan.modules[old] = new
            if kind == "module":
                plan.moves[old] = new
        elif kind == "symbol":
            plan.symbols[old] = new
        elif kind in ("member", "name") and rest[:1] in ([], ["in"]):
            plan.members.append(MemberRule(old, new, tuple(rest[1:]), kind == "name"))
        else:
            raise ValueError(f"not a rule: {line!r}")
    return plan


def source_files() -> list[Path]:
    """Return the Python files below the current folder."""
    return sorted(p for p in Path().rglob("*.py") if not SKIPPED_FOLDERS & set(p.parts))


def module_name(path: Path) -> str:
    """Return the dotted name of a file; modules of `tests` are imported by their bare names."""
    parts = list(path.with_suffix("").parts)
    if parts[0] == "tests":
        parts = parts[1:]
    if parts and parts[-1] == "__init__":
        parts.pop()
    return ".".join(parts)


def find_exports(path: Path) -> dict[str, str]:
    """Map the names that a module imports, as dotted names of the module, to those of their origin."""
    module = module_name(path)
    found = {}
    for match in re.finditer(r"^from ([\w.]+) import (\([^)]*\)|.*)$", path.read_text(), re.MULTILINE):
        for item in match[2].strip("()").replace("\n", " ").split(","):
            words = item.split("#")[0].split()
            if words:
                found[f"{module}.{words[-1]}"] = f"{match[1]}.{words[0]}"
    return found


class Renamer(cst.CSTTransformer):
    """Applies a plan to one module."""

    METADATA_DEPENDENCIES = (QualifiedNameProvider,)

    def __init__(self, plan: Plan, path: Path) -> None:
        super().__init__()
        self.plan = plan
        self.module = module_name(path)
        rules = [rule for rule in plan.members if rule.covers(path)]
        self.members = {rule.old: rule.new for rule in rules}
        self.variables = {rule.old: rule.new for rule in rules if rule.variables}
        self.handled: set[int] = set()  # identifiers decided by their enclosing node
        self.class_depth: list[bool] = []

    def dotted(self, node: cst.CSTNode) -> str | None:
        """Return the full dotted name that a node refers to."""
        for name in self.get_metadata(QualifiedNameProvider, node, default=()) or ():
            if name.source == QualifiedNameSource.IMPORT:
                return name.name
            if name.source == QualifiedNameSource.LOCAL and "<locals>" not in name.name:
                return f"{self.module}.{name.name}"
        return None

    def visit_ClassDef(self, node: cst.ClassDef) -> None:
        """Track that the following definitions are members."""
        self.class_depth.append(True)

    def leave_ClassDef(self, original_node: cst.ClassDef, updated_node: cst.ClassDef) -> cst.ClassDef:
        """Track the end of the class."""
        self.class_depth.pop()
        return updated_node

    def visit_FunctionDef(self, node: cst.FunctionDef) -> None:
        """Mark a method for the rules of members; track that the following definitions are local."""
        if self.class_depth and self.class_depth[-1] and node.name.value in self.members:
            self.handled.add(id(node.name))
        self.class_depth.append(False)

    def leave_FunctionDef(self, original_node: cst.FunctionDef, updated_node: cst.FunctionDef) -> cst.FunctionDef:
        """Rename a marked method."""
        self.class_depth.pop()
        if id(original_node.name) in self.handled:
            return updated_node.with_changes(name=cst.Name(self.members[original_node.name.value]))
        return updated_node

    def visit_AnnAssign(self, node: cst.AnnAssign) -> None:
        """Mark an annotated field of a class for the rules of members."""
        if self.class_depth and self.class_depth[-1] and isinstance(node.target, cst.Name):
            self.variables_or_members(node.target)

    def visit_AssignTarget(self, node: cst.AssignTarget) -> None:
        """Mark a class attribute for the rules of members."""
        if self.class_depth and self.class_depth[-1] and isinstance(node.target, cst.Name):
            self.variables_or_members(node.target)

    def variables_or_members(self, name: cst.Name) -> None:
        """Mark an identifier to be renamed as a member."""
        if name.value in self.members:
            self.handled.add(id(name))
            self.marked.add(id(name))

    marked: set[int] = set()

    def visit_Attribute(self, node: cst.Attribute) -> None:
        """Exclude the attribute name from the rules of variables."""
        self.handled.add(id(node.attr))

    def leave_Attribute(self, original_node: cst.Attribute, updated_node: cst.Attribute) -> cst.BaseExpression:
        """Rename a symbol that is reached through its module, or a member."""
        dotted = self.dotted(original_node)
        new = self.plan.renamed_symbol(dotted) if dotted else None
        if (
            new is None
            and dotted
            and (moved := self.plan.renamed_module(dotted)) != dotted
            and dotted in self.plan.modules
        ):
            return cst.parse_expression(moved)
        if new is None:
            new = self.members.get(original_node.attr.value)
        return updated_node.with_changes(attr=cst.Name(new)) if new else updated_node

    def visit_Arg(self, node: cst.Arg) -> None:
        """Exclude a keyword from the rules of variables."""
        if node.keyword is not None:
            self.handled.add(id(node.keyword))

    def leave_Arg(self, original_node: cst.Arg, updated_node: cst.Arg) -> cst.Arg:
        """Rename a keyword argument by the rules for members."""
        if original_node.keyword is not None and original_node.keyword.value in self.members:
            return updated_node.with_changes(keyword=cst.Name(self.members[original_node.keyword.value]))
        return updated_node

    def visit_Import(self, node: cst.Import) -> bool:
        """Skip the identifiers inside, which `leave_Import` renames."""
        return False

    def leave_Import(self, original_node: cst.Import, updated_node: cst.Import) -> cst.Import:
        """Rename the modules imported."""
        names = []
        for alias in updated_node.names:
            new = self.plan.renamed_module(alias.evaluated_name)
            names.append(alias.with_changes(name=cst.parse_expression(new)) if new != alias.evaluated_name else alias)
        return updated_node.with_changes(names=names)

    def visit_ImportFrom(self, node: cst.ImportFrom) -> bool:
        """Skip the identifiers inside, which `leave_ImportFrom` renames."""
        return False

    def leave_ImportFrom(self, original_node: cst.ImportFrom, updated_node: cst.ImportFrom) -> cst.ImportFrom:
        """Rename the module and the symbols imported from it."""
        if updated_node.module is None or isinstance(updated_node.names, cst.ImportStar):
            return updated_node
        source = cst.Module([]).code_for_node(updated_node.module)
        target = self.plan.renamed_module(source)
        names = []
        for alias in updated_node.names:
            full = f"{source}.{alias.evaluated_name}"
            if full in self.plan.modules:
                package, _, last = self.plan.modules[full].rpartition(".")
                target = package
                names.append(alias.with_changes(name=cst.Name(last)))
                continue
            new = self.plan.renamed_symbol(full)
            names.append(alias.with_changes(name=cst.Name(new)) if new else alias)
        return updated_node.with_changes(module=cst.parse_expression(target), names=names)

    def leave_Name(self, original_node: cst.Name, updated_node: cst.Name) -> cst.BaseExpression:
        """Rename a module-level symbol, a module, a marked member or a variable."""
        if id(original_node) in self.marked:
            return updated_node.with_changes(value=self.members[original_node.value])
        if id(original_node) in self.handled:
            return updated_node
        if original_node.value in self.variables:
            return updated_node.with_changes(value=self.variables[original_node.value])
        dotted = self.dotted(original_node)
        if dotted is None:
            return updated_node
        if dotted in self.plan.modules and original_node.value == dotted.rpartition(".")[2]:
            return updated_node.with_changes(value=self.plan.modules[dotted].rpartition(".")[2])
        new = self.plan.renamed_symbol(dotted)
        # An alias given by an import stays.
        return (
            updated_node.with_changes(value=new)
            if new and self._keeps_last_component(dotted, original_node.value)
            else updated_node
        )

    def _keeps_last_component(self, dotted: str, local_name: str) -> bool:
        return dotted.rpartition(".")[2] == local_name


def rename_in(plan: Plan, path: Path) -> list[str]:
    """Rewrite one file; return warnings."""
    text = path.read_text()
    old_names = [old.rpartition(".")[2] for old in (*plan.symbols, *plan.modules)]
    old_names += [rule.old for rule in plan.members if rule.covers(path)]
    if not any(re.search(rf"\b{re.escape(old)}\b", text) for old in set(old_names)):
        return []
    renamer = Renamer(plan, path)
    renamer.marked = set()
    changed = MetadataWrapper(cst.parse_module(text), unsafe_skip_copy=True).visit(renamer).code
    if changed == text:
        return []
    path.write_text(changed)
    new_names = {*plan.symbols.values(), *renamer.members.values()}
    return [f"{path}: {new} was there before" for new in sorted(new_names) if re.search(rf"\b{new}\b", text)]


def move_files(plan: Plan) -> None:
    """Move the renamed modules and packages."""
    for old, new in plan.moves.items():
        source, target = Path(old.replace(".", "/")), Path(new.replace(".", "/"))
        if not source.is_dir():
            source, target = source.with_suffix(".py"), target.with_suffix(".py")
        if not source.exists():
            continue  # already moved by an earlier run
        target.parent.mkdir(parents=True, exist_ok=True)
        subprocess.run(["git", "mv", str(source), str(target)], check=True)


def main() -> None:
    """Apply the plan named on the command line."""
    plan = read_plan(Path(sys.argv[1]).read_text())
    files = source_files()
    for path in files:
        plan.exports.update(find_exports(path))
    with ProcessPoolExecutor(6) as pool:
        for warnings in pool.map(partial(rename_in, plan), files, chunksize=4):
            for warning in warnings:
                print(warning)
    move_files(plan)


if __name__ == "__main__":
    main()
