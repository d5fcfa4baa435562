"""The configuration: environment, JSON file and operator's file, read once into the values used.

Owns the LB_* variables, the shape of the JSON that LB_CONFIG names, and that of the operator's TOML
(`FROSTSPINDLE_OPERATOR`, the example is deploy/tds.toml). Every fault becomes one ConfigError line that
names the key. It never opens a socket, never keeps the raw document, and leaves the meaning of the
module's settings to pinstage.settings, the parser that the adapter uses too.
"""

from __future__ import annotations

import dataclasses
import ipaddress
import os
import stat
from collections.abc import Mapping
from pathlib import Path
from typing import Annotated, Any

import msgspec
from msgspec import Meta, Struct

from frostspindle.ledger.tenants import Index, Rule
from pinstage.interface import Settings
from pinstage.settings import flatten, read_settings

Address = tuple[str, int]
WORKER_SOCKETS, WORKER_MB = 128, 40.0  # the least that one of several workers can serve with
STATES = {"active": 1, "leaving": 2, "left": 0}


class ConfigError(Exception):
    """One line that names the key at fault."""


class Host(Struct):
    """One engine as an event of the bus tells it."""

    host: str
    dial: str = ""
    site: str = ""
    kind: str = msgspec.field(default="", name="class")
    block: int = 0
    health: str = "active"
    share: float = 1.0
    born_ms: float = 0.0


class Topology(Struct):
    hosts: list[Host]
    seq: int = 0
    whole: bool = False


class BusEvent(Struct):
    """One numbered change of the engine list; an event without a topology only moves the number."""

    offset: int
    topology: Topology | None = None


class _Known(Struct):
    offset: int = 0
    batch: list[BusEvent] = []


class Limits(Struct):
    memory_mb: Annotated[float, Meta(gt=0)] = 192.0
    sockets: Annotated[int, Meta(ge=64)] = 1024


class _Document(Struct):
    settings: dict[str, Any]
    name: str = ""
    listen: str = ""
    seed: str = "0"
    bus: str = ""
    operator: str = ""
    limits: Limits = msgspec.field(default_factory=Limits)
    known: _Known = msgspec.field(default_factory=_Known)


Positive = Annotated[float, Meta(gt=0)]
Count = Annotated[int, Meta(gt=0)]


class TdsEngine(Struct, forbid_unknown_fields=True):
    """An engine that speaks TDS."""

    name: Annotated[str, Meta(min_length=1)]
    dial: str
    cores: Positive = 8.0
    memory_mb: Positive = 16384.0
    state: str = "active"


class TdsLogin(Struct, forbid_unknown_fields=True):
    """What a login is served as; application and database match whole, an empty one matches all."""

    cls: Annotated[str, Meta(min_length=1)] = msgspec.field(name="class")
    application: str = ""
    database: str = ""
    deadline_ms: Positive = 10_000.0
    cost_ms: Annotated[float, Meta(ge=0)] = 0.0
    memory_mb: Annotated[float, Meta(ge=0)] = 0.0


class Tds(Struct, forbid_unknown_fields=True):
    """The TDS front and its engines."""

    listen: str
    login: Annotated[list[TdsLogin], Meta(min_length=1)]
    engine: list[TdsEngine] = []
    max_sessions: Count = 64
    max_batch_bytes: Count = 128 * 1024
    max_result_bytes: Count = 256 * 1024
    login_ms: Positive = 2_400.0
    idle_ms: Positive = 600_000.0
    engine_user: str = "frostspindle"
    engine_password: str = ""


class Snmp(Struct, forbid_unknown_fields=True):
    """The SNMP agent."""

    listen: str
    community: Annotated[str, Meta(min_length=1)]


class TenantRule(Struct, forbid_unknown_fields=True):
    """What must hold of a request of the tenant; see ledger/tenants.py."""

    front: str = ""
    header: str = ""
    login: str = ""
    application: str = ""
    database: str = ""
    schema: str = ""
    address: str = ""


class Tenant(Struct, forbid_unknown_fields=True):
    """A team that shares the engines, and its share of them."""

    name: Annotated[str, Meta(min_length=1, max_length=64)]
    share_per_s: Annotated[float, Meta(ge=0)] = 0.0  # requests a second of all coordinators; 0: no bound
    rule: list[TenantRule] = []


class FleetSeed(Struct, forbid_unknown_fields=True):
    """A coordinator that others join the fleet at; all of them are the homes of the budgets' rights."""

    name: Annotated[str, Meta(min_length=1, max_length=64)]
    address: str


class FleetBudget(Struct, forbid_unknown_fields=True):
    """So many units in any window, of all coordinators together."""

    name: Annotated[str, Meta(min_length=1, max_length=16)]
    units: Annotated[int, Meta(ge=1, le=10_000_000)]
    window_ms: Annotated[float, Meta(ge=100, le=600_000)] = 1_000.0
    tenant: str = ""  # each request of this tenant is one unit; one over the budget goes last


class Fleet(Struct, forbid_unknown_fields=True):
    """This coordinator's part in a fleet; seeds, budgets, lease and drift must be the same everywhere."""

    listen: str
    seed: Annotated[list[FleetSeed], Meta(min_length=1, max_length=256)]
    advertise: str = ""  # where others reach it, if that is not `listen`
    name: str = ""  # in the fleet; else the configuration's
    budget: Annotated[list[FleetBudget], Meta(max_length=32)] = []
    lease_ms: Annotated[float, Meta(ge=1_000, le=600_000)] = 5_000.0
    drift: Annotated[float, Meta(ge=0, le=0.2)] = 0.055
    probe_ms: Annotated[float, Meta(ge=100, le=60_000)] = 1_000.0
    timeout_ms: Annotated[float, Meta(ge=20, le=10_000)] = 300.0
    judges: Annotated[int, Meta(ge=2)] = 3  # one coordinator alone never speaks for others
    verdict_ms: Annotated[float, Meta(ge=1_000, le=600_000)] = 10_000.0


class Cores(Struct, forbid_unknown_fields=True):
    """How many processes serve, and when one of them is given up."""

    workers: Annotated[int, Meta(ge=1, le=64)] = 1
    hang_ms: Annotated[float, Meta(ge=500)] = 3_000.0  # a worker that is silent for so long is killed
    crashes: Annotated[int, Meta(ge=1)] = 10  # so many within `within_ms` end the program
    within_ms: Positive = 60_000.0


class Operator(Struct, forbid_unknown_fields=True):
    """The operator's file: the parts that are off unless set up."""

    tds: Tds | None = None
    snmp: Snmp | None = None
    tenant: list[Tenant] = []
    default_tenant: str = "default"  # of requests that no rule fits
    cores: Cores = msgspec.field(default_factory=Cores)
    fleet: Fleet | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class TdsPlan:
    """What the module is told of TDS: its classes and kinds stand behind the platform's."""

    classes: dict[str, int]
    kinds: dict[tuple[float, float], int]


@dataclasses.dataclass(frozen=True, slots=True)
class Config:
    """The few values that the program uses."""

    environ: Mapping[str, str]  # what they were read from, and are read from again
    name: str
    listen: Address
    seed: int
    limits: Limits
    bus: Address | None
    known_offset: int
    known: tuple[BusEvent, ...]
    settings: Settings
    classes: tuple[str, ...]
    kinds: tuple[str, ...]
    zones: tuple[str, ...]
    idle_ms: float
    operator: Operator
    plan: TdsPlan
    desk: Address | str | None = None  # where operators call; a str is the path of a Unix socket
    inherited: int | None = None  # the descriptor of a listening socket that the platform holds
    listener: int | None = None  # of one that the supervisor holds for all its workers
    tds_listener: int | None = None
    worker: int | None = None  # which of several workers this process is


def address(text: str, key: str) -> Address:
    """HOST:PORT with a loopback-or-other literal address; names are not looked up."""
    host, mark, port = text.rpartition(":")
    try:
        ipaddress.ip_address(host.strip("[]"))
        number = int(port)
    except ValueError:
        number = -1
    if not mark or not 0 <= number <= 65535:
        raise ConfigError(f"{key}: not an address of the form IP:PORT: {text!r}")
    return host.strip("[]"), number


def read_operator(path: str, classes: tuple[str, ...], limits: Limits) -> Operator:
    """Read the operator's file and check it against the platform's classes and limits."""
    if not path:
        return Operator()
    try:
        operator = msgspec.toml.decode(Path(path).read_bytes(), type=Operator)
    except OSError as error:
        raise ConfigError(f"FROSTSPINDLE_OPERATOR: {path}: {error.strerror}") from None
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise ConfigError(f"FROSTSPINDLE_OPERATOR: {path}: {_one_line(error)}") from None
    if tds := operator.tds:
        address(tds.listen, "tds.listen")
        if tds.max_sessions > limits.sockets // 6:
            raise ConfigError(f"tds.max_sessions: more than a sixth of {limits.sockets} sockets")
        # A message is held up to three times: as it comes, whole, and as it goes out.
        if 3 * tds.max_sessions * (tds.max_batch_bytes + tds.max_result_bytes) > limits.memory_mb * 2**19:
            raise ConfigError("tds.max_result_bytes: with max_sessions and max_batch_bytes it may take more than "
                              f"half of {limits.memory_mb:g} MB")
        names = set()
        for number, engine in enumerate(operator.tds.engine):
            address(engine.dial, f"tds.engine[{number}].dial")
            if engine.state not in STATES:
                raise ConfigError(f"tds.engine[{number}].state: not one of {', '.join(STATES)}")
            if engine.name in names:
                raise ConfigError(f"tds.engine[{number}].name: {engine.name!r} stands there twice")
            names.add(engine.name)
        for number, login in enumerate(operator.tds.login):
            if login.cls not in classes:
                raise ConfigError(f"tds.login[{number}].class: the settings have no class {login.cls!r}")
    if operator.snmp:
        address(operator.snmp.listen, "snmp.listen")
    _check_tenants(operator)
    if operator.fleet:
        _check_fleet(operator, operator.fleet)
    return operator


def _check_tenants(operator: Operator) -> None:
    names = {operator.default_tenant}
    for number, tenant in enumerate(operator.tenant):
        if tenant.name in names:
            raise ConfigError(f"tenant[{number}].name: {tenant.name!r} stands there twice")
        names.add(tenant.name)
        for place, rule in enumerate(tenant.rule):
            key = f"tenant[{number}].rule[{place}]"
            if rule.front not in ("", "http", "tds"):
                raise ConfigError(f"{key}.front: not http or tds: {rule.front!r}")
            try:
                Rule(tenant.name, *msgspec.structs.astuple(rule)).check()
            except ValueError as error:
                raise ConfigError(f"{key}: {_one_line(error)}") from None


def _check_fleet(operator: Operator, fleet: Fleet) -> None:
    for key, text in (("listen", fleet.listen), ("advertise", fleet.advertise or fleet.listen),
                      *((f"seed[{n}].address", seed.address) for n, seed in enumerate(fleet.seed))):
        if ":" in address(text, f"fleet.{key}")[0]:
            raise ConfigError(f"fleet.{key}: not an IPv4 address: {text!r}")
    for what, names in (("seed", [seed.name for seed in fleet.seed]), ("budget", [b.name for b in fleet.budget])):
        for number, name in enumerate(names):
            if name in names[:number]:
                raise ConfigError(f"fleet.{what}[{number}].name: {name!r} stands there twice")
    shares = {tenant.name: tenant.share_per_s for tenant in operator.tenant}
    bound: set[str] = set()
    for number, budget in enumerate(fleet.budget):
        key = f"fleet.budget[{number}].tenant"
        if budget.tenant and budget.tenant not in shares:
            raise ConfigError(f"{key}: there is no [[tenant]] {budget.tenant!r}")
        if budget.tenant in bound:
            raise ConfigError(f"{key}: {budget.tenant!r} has a budget already")
        if shares.get(budget.tenant):
            raise ConfigError(f"{key}: {budget.tenant!r} has a share_per_s too; one of both bounds it")
        bound |= {budget.tenant} - {""}


def tenant_index(operator: Operator) -> tuple[Index, dict[str, int]] | None:
    """The rules compiled, and the module's number of each tenant; None where there are none."""
    if not operator.tenant:
        return None
    rules = [Rule(tenant.name, *msgspec.structs.astuple(rule)) for tenant in operator.tenant for rule in tenant.rule]
    return Index(rules), {tenant.name: number for number, tenant in enumerate(operator.tenant, 1)}


def _read_cores(cores: Cores, environ: Mapping[str, str], limits: Limits) -> None:
    """The number of workers, which the command line may name, against what each of them needs."""
    key = "cores.workers"
    if text := environ.get("FROSTSPINDLE_WORKERS", ""):
        key = "FROSTSPINDLE_WORKERS"
        if not text.isascii() or not text.isdecimal() or not 1 <= int(text[:6]) <= 64:
            raise ConfigError(f"{key}: not a number from 1 to 64: {text!r}")
        cores.workers = int(text)
    if cores.workers == 1:
        return
    if cores.workers * WORKER_SOCKETS > limits.sockets:
        raise ConfigError(f"{key}: {cores.workers} workers need {WORKER_SOCKETS} of limits.sockets each")
    if cores.workers * WORKER_MB > limits.memory_mb:
        raise ConfigError(f"{key}: {cores.workers} workers need {WORKER_MB:g} MB of limits.memory_mb each")


def _descriptor(text: str) -> int | None:
    """The number of an open socket."""
    if not text:
        return None
    try:
        number = int(text)
        if stat.S_ISSOCK(os.fstat(number).st_mode):
            return number
    except (ValueError, OverflowError, OSError):
        pass
    raise ConfigError(f"LB_INHERITED_FD: not the number of an open socket: {text!r}")


def _one_line(error: Exception) -> str:
    return " ".join(str(error).split())


def read(environ: Mapping[str, str] = os.environ) -> Config:
    """Read everything, at the start and on SIGHUP; ConfigError names the key that can't be used."""
    path = environ.get("LB_CONFIG", "")
    if not path:
        raise ConfigError("LB_CONFIG: not set")
    try:
        document = msgspec.json.decode(Path(path).read_bytes(), type=_Document)
    except OSError as error:
        raise ConfigError(f"LB_CONFIG: {path}: {error.strerror}") from None
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise ConfigError(f"LB_CONFIG: {path}: {_one_line(error)}") from None
    listen = environ.get("LB_LISTEN") or document.listen
    if not listen:
        raise ConfigError("LB_LISTEN: not set, and no listen in LB_CONFIG")
    try:
        seed = int(document.seed, 16)
    except ValueError:
        raise ConfigError(f"seed: not a hexadecimal number: {document.seed!r}") from None
    pairs = flatten(document.settings)
    try:
        settings = read_settings(pairs)
        idle_ms = float(pairs.get("limits.connIdle", 15000.0))
    except ValueError as error:
        raise ConfigError(f"settings: {_one_line(error)}") from None
    categories = document.settings.get("categories", [])
    classes = tuple(str(c.get("name", number)) for number, c in enumerate(categories))
    operator_file = environ.get("FROSTSPINDLE_OPERATOR", "")
    operator = read_operator(operator_file, classes, document.limits)
    _read_cores(operator.cores, environ, document.limits)
    if operator.fleet and operator.cores.workers > 1:
        raise ConfigError("fleet: needs cores.workers = 1")
    if operator.fleet and not (operator.fleet.name or environ.get("LB_NAME") or document.name):
        raise ConfigError("fleet.name: not set, and no name in LB_CONFIG")
    desk = environ.get("LB_OPERATOR") or document.operator
    plan = TdsPlan({}, {})
    if operator.tenant:
        # Tenant 0 is the default, without a bound of ours; a platform that names tenants itself keeps that one's.
        settings = dataclasses.replace(settings, tenant_quota_per_s=(
            *(settings.tenant_quota_per_s or (0.0,))[:1], *(tenant.share_per_s for tenant in operator.tenant)))
    if operator.tds:
        settings, plan = with_tds(settings, classes, operator.tds)
    return Config(
        environ=environ, name=environ.get("LB_NAME") or document.name,
        listen=address(listen, "LB_LISTEN"), seed=seed,
        limits=document.limits, bus=address(document.bus, "bus") if document.bus else None,
        known_offset=document.known.offset, known=tuple(document.known.batch), settings=settings,
        classes=classes, kinds=_names(document.settings, "kinds"),
        zones=_names(document.settings, "failureDomains"), idle_ms=idle_ms,
        operator=operator, plan=plan,
        desk=desk if desk.startswith("/") else address(desk, "LB_OPERATOR") if desk else None,
        inherited=_descriptor(environ.get("LB_INHERITED_FD", "")))


def with_tds(settings: Settings, names: tuple[str, ...], tds: Tds) -> tuple[Settings, TdsPlan]:
    """The module's settings with the TDS classes and kinds added.

    A request stays among engines that speak as its client does. The module itself sees to that, by its rule on
    placement: the classes of each front are bound to the kinds of that front's engines.
    """
    first = len(settings.kind_cores)
    kinds: dict[tuple[float, float], int] = {}
    for engine in tds.engine:
        kinds.setdefault((engine.cores, engine.memory_mb), first + len(kinds))
    plan = TdsPlan({}, kinds)
    here = frozenset(kinds.values())
    classes = [dataclasses.replace(c, only_kinds=c.only_kinds or frozenset(range(first)))
               for c in settings.classes]
    for login in tds.login:
        if login.cls not in plan.classes:
            plan.classes[login.cls] = len(classes)
            classes.append(dataclasses.replace(settings.classes[names.index(login.cls)], only_kinds=here,
                                               only_zones=None))
    memory = (settings.kind_memory_mb + (0.0,) * first)[:first]
    return dataclasses.replace(
        settings, classes=tuple(classes), kind_cores=settings.kind_cores + tuple(cores for cores, _ in kinds),
        kind_memory_mb=memory + tuple(size for _, size in kinds)), plan


def _names(settings: dict[str, Any], key: str) -> tuple[str, ...]:
    value = settings.get(key, [])
    return tuple(value) if isinstance(value, list) else tuple(str(value).split(","))
