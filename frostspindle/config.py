"""The configuration: environment, JSON file and operator's file, read once into the values used.

Owns the LB_* variables, the shape of the JSON that LB_CONFIG names, and that of the operator's TOML
(`FROSTSPINDLE_OPERATOR`, the example is deploy/tds.toml). Every fault becomes one ConfigError line that
names the key. It never opens a socket, never keeps the raw document, and leaves the meaning of the
module's settings to frostspindle.policy.settings_parser, the parser that the adapter uses too.
"""

from __future__ import annotations

import dataclasses
import importlib.util
import ipaddress
import os
import resource
import stat
from collections.abc import Mapping
from pathlib import Path
from typing import Annotated, Any

import msgspec
from msgspec import Meta, Struct

from frostspindle.ledger.tenant_rules import Rule
from frostspindle.ledger.tenants import Tenants
from frostspindle.policy import Settings
from frostspindle.policy.settings_parser import flatten, read_settings

Address = tuple[str, int]
WORKER_SOCKETS, WORKER_MB = 128, 40.0  # the least that one of several workers can serve with
IDLE_MS = 15_000.0  # after which engines close idle connections, where the settings do not say
STATES = {"active": 1, "leaving": 2, "left": 0}
# Figures of a load report have one name on the wire and another in the module.
REPORTED = {
    "util": "load_share",
    "queue": "depth",
    "inflight": "concurrent",
    "latency_ms": "mean_ms",
    "qps": "tps",
    "eps": "err_ps",
}


class ConfigError(Exception):
    """A fault in the configuration, as one line that names the key at fault."""


class Host(Struct):
    """One engine as an event of the bus describes it."""

    host: str
    dial: str = ""
    site: str = ""
    kind: str = msgspec.field(default="", name="class")
    block: int = 0
    health: str = "active"
    share: float = 1.0
    born_ms: float = 0.0


class Topology(Struct):
    """The engine list in an event of the bus: all engines if `whole`, else only those that are new or have changed."""

    hosts: list[Host]
    seq: int = 0
    whole: bool = False


class BusEvent(Struct):
    """One numbered event of the bus; one without a topology only advances the number."""

    offset: int
    topology: Topology | None = None


class _Known(Struct):
    offset: int = 0
    batch: list[BusEvent] = []


class Limits(Struct):
    """The bounds on this coordinator's resources: memory in MB, and file descriptors for all its sockets."""

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
    """The terms of a TDS log-in: application and database must match whole, an empty one matches any."""

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


class TenantRule(Struct, forbid_unknown_fields=True, frozen=True):
    """What must hold of a request of the tenant; see ledger/tenant_rules.py."""

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
    cold: bool = False  # a cold engine's budget is the fleet's, not so much for each coordinator
    cold_lease_ms: Annotated[float, Meta(ge=300, le=60_000)] = 1_500.0
    cold_outside: Annotated[int, Meta(ge=0)] = 0  # coordinators that go on by their plain share of cold engines


class Recovery(Struct, forbid_unknown_fields=True):
    """What is kept over a loss of power, and how long each stage of coming back may take, in ms; docs/recovery.md."""

    folder: str = ""  # of the store; "": nothing is kept, and each start is one with a lost store
    witness: str = ""  # a file that tells a store which was set back, best on another disk
    first_start: bool = False  # the operator's word that an empty folder is none that was lost
    store_ms: Annotated[float, Meta(ge=100, le=60_000)] = 5_000.0
    address_ms: Annotated[float, Meta(ge=100, le=60_000)] = 10_000.0
    find_ms: Annotated[float, Meta(ge=100, le=60_000)] = 1_000.0
    agree_ms: Annotated[float, Meta(ge=100, le=60_000)] = 500.0
    rights_ms: Annotated[float, Meta(ge=0, le=600_000)] = 100.0
    service_ms: Annotated[float, Meta(ge=1_000, le=600_000)] = 60_000.0
    ticket_ms: Annotated[float, Meta(ge=1_000, le=86_400_000)] = 600_000.0  # so long a load may be repeated by its id
    claim_ms: Annotated[float, Meta(ge=50, le=10_000)] = 1_000.0  # a load's ticket is asked for so long


class Replica(Struct, forbid_unknown_fields=True):
    """The replicated log and this coordinator's part in it; voters and times must be the same everywhere, but for the
    addresses by which each reaches the others. docs/replica.md"""

    voters: Annotated[list[Annotated[str, Meta(max_length=128)]], Meta(min_length=1, max_length=7)]  # name=IP:PORT
    folder: str  # of the journal
    secret: str  # the file that holds the secret which all members share
    me: str = ""  # this one's name; else fleet.name or the configuration's. Who is no voter is a follower
    listen: str = ""  # IP:PORT, where it is not this one's among the voters
    first_start: bool = False  # the operator's word that an empty folder is none whose journal was lost
    heartbeat_ms: Annotated[float, Meta(ge=20, le=10_000)] = 100.0
    election_ms: Annotated[float, Meta(ge=100, le=60_000)] = 500.0  # of a leader's silence; drawn up to twice that
    most_open: Annotated[int, Meta(ge=1, le=4_096)] = 256  # proposals of this coordinator that wait at once


class OwnedTask(Struct, forbid_unknown_fields=True):
    """The export of the fleet's figures to a fenced sink, by one owner at a time."""

    name: Annotated[str, Meta(pattern=r"^[!-~]{1,64}$")]
    at: str  # the sink's IP:PORT
    every_ms: Annotated[float, Meta(ge=10, le=86_400_000)] = 60_000.0
    weight: Annotated[float, Meta(gt=0, le=1e6)] = 1.0  # a coordinator with a greater one is likelier to own it


class OwnedWarming(Struct, forbid_unknown_fields=True):
    """Statements by which the owner of the task `warm` warms cold HTTP engines up; needs fleet.cold."""

    statement: Annotated[list[Annotated[str, Meta(min_length=1, max_length=4096)]], Meta(min_length=1, max_length=64)]
    cls: str = msgspec.field(name="class")
    cost_ms: Annotated[float, Meta(gt=0, le=60_000)] = 100.0  # of one, as rights are paid for it
    most_ms: Annotated[float, Meta(ge=50, le=60_000)] = 2_000.0
    every_ms: Annotated[float, Meta(ge=20, le=60_000)] = 250.0
    weight: Annotated[float, Meta(gt=0, le=1e6)] = 1.0


class Ownership(Struct, forbid_unknown_fields=True):
    """One owner at a time for work on behalf of the fleet, on the replicated log; the same everywhere but for the
    tasks. docs/ownership.md"""

    lease_ms: Annotated[int, Meta(ge=300, le=600_000)] = 3_000
    drift: Annotated[float, Meta(ge=0, le=0.2)] = 0.01  # no clock is faster or slower than real time by more
    task: Annotated[list[OwnedTask], Meta(max_length=64)] = []
    warm: OwnedWarming | None = None


class Agreed(Struct, forbid_unknown_fields=True):
    """`[settings]`: settings and lists in versions that all coordinators agree on; see docs/settings.md. All but the
    places and `alone` must be the same everywhere."""

    folder: str = ""  # of the versions that are kept; "": none is, and none acknowledged
    file: str = ""  # of a coordinator without [replica]: its file is its next version, at the start and on SIGHUP
    lease_ms: Annotated[float, Meta(ge=300, le=60_000)] = 2_000.0
    drift: Annotated[float, Meta(ge=0, le=0.2)] = 0.01
    trial_ms: Annotated[float, Meta(ge=1_000, le=600_000)] = 10_000.0  # a version may be rolled back for so long
    alone: str = "meet"  # what to act on once nothing was heard for a lease; or "refuse"
    guard: bool = True  # a version that harms is rolled back: its parts of requests leave what was usual by more than
    band_failed: Annotated[float, Meta(gt=0, le=1)] = 0.01
    band_refused: Annotated[float, Meta(gt=0, le=1)] = 0.05
    band_slow: Annotated[float, Meta(gt=0, le=1)] = 0.03


class Subscriptions(Struct, forbid_unknown_fields=True):
    """Operators' programs may subscribe to events at this coordinator; see docs/subscriptions.md."""

    most: Annotated[int, Meta(ge=1, le=10_000)] = 1_000  # subscriptions at once
    remember: Annotated[int, Meta(ge=256, le=262_144)] = 16_384  # own events, for those that come back
    backlog: Annotated[int, Meta(ge=16, le=16_384)] = 1_024  # events that wait for one subscriber


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
    metrics: bool = False  # the operators' port answers `metrics`, in Prometheus' text form
    recovery: Recovery | None = None
    scatter: dict[str, Any] | None = None  # read by catalogue.py, which is loaded for it alone
    subscriptions: Subscriptions | None = None
    replica: Replica | None = None
    ownership: Ownership | None = None
    settings: Agreed | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class TdsPlan:
    """What the module is told of TDS: its classes and kinds stand behind the platform's."""

    classes: dict[str, int]
    kinds: dict[tuple[float, float], int]


@dataclasses.dataclass(frozen=True, slots=True)
class Config:
    """The values in effect, read once from the environment, the JSON file and the operator's file."""

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
    tenants: Tenants
    desk: Address | str | None = None  # where operators call; a str is the path of a Unix socket
    inherited: int | None = None  # the descriptor of a listening socket that the platform holds
    listener: int | None = None  # of one that the supervisor holds for all its workers
    tds_listener: int | None = None
    worker: int | None = None  # which of several workers this process is
    scatter: Any = None  # the catalogue of spread tables


def address(text: str, key: str) -> Address:
    """Parse HOST:PORT with a literal IP address, loopback or other; names are not resolved."""
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
            raise ConfigError(
                "tds.max_result_bytes: with max_sessions and max_batch_bytes it may take more than "
                f"half of {limits.memory_mb:g} MB"
            )
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
    for key, text in (
        ("listen", fleet.listen),
        ("advertise", fleet.advertise or fleet.listen),
        *((f"seed[{n}].address", seed.address) for n, seed in enumerate(fleet.seed)),
    ):
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


def _check_recovery(operator: Operator, name: str) -> None:
    if operator.recovery is None:
        return
    if operator.cores.workers > 1:
        raise ConfigError("recovery: needs cores.workers = 1")
    if not 0 < len((operator.fleet and operator.fleet.name or name).encode()) <= 64:
        raise ConfigError("recovery: needs a name of 1 to 64 bytes in LB_CONFIG or fleet.name")
    for key, text in (("folder", operator.recovery.folder), ("witness", operator.recovery.witness)):
        if text and not os.path.isabs(text):
            raise ConfigError(f"recovery.{key}: not an absolute path: {text!r}")


def _check_replica(operator: Operator, name: str) -> None:
    if operator.replica is None:
        return
    replica = operator.replica
    if importlib.util.find_spec("pysyncobj") is None:
        raise ConfigError("replica: needs the extra: pip install 'frostspindle[replica]'")
    if operator.cores.workers > 1:
        raise ConfigError("replica: needs cores.workers = 1")
    replica.me = replica.me or (operator.fleet.name if operator.fleet else "") or name
    names = []
    for number, text in enumerate(replica.voters):
        voter, mark, at = text.partition("=")
        key = f"replica.voters[{number}]"
        if not mark or not _plain_name(voter):
            raise ConfigError(f"{key}: not NAME=IP:PORT, the name of 1 to 64 letters, digits, . _ -: {text!r}")
        if address(at, key)[1] == 0:
            raise ConfigError(f"{key}: no port: {text!r}")
        if voter in names:
            raise ConfigError(f"{key}: {voter!r} stands there twice")
        names.append(voter)
    if len(names) % 2 == 0:
        raise ConfigError(f"replica.voters: {len(names)} of them; an odd number bears as many losses with one fewer")
    if not _plain_name(replica.me):
        raise ConfigError(f"replica.me: not a name of 1 to 64 letters, digits, . _ -: {replica.me!r}")
    if replica.listen:
        address(replica.listen, "replica.listen")
    if replica.election_ms <= 3 * replica.heartbeat_ms:
        raise ConfigError("replica.election_ms: not above three heartbeats")
    for key, text in (("folder", replica.folder), ("secret", replica.secret)):
        if not os.path.isabs(text):
            raise ConfigError(f"replica.{key}: not an absolute path: {text!r}")
    try:
        with open(replica.secret, "rb") as file:
            length = len(file.read(4_097).strip())
    except OSError as error:
        raise ConfigError(f"replica.secret: {replica.secret}: {error.strerror}") from None
    if not 16 <= length <= 4_096:
        raise ConfigError("replica.secret: holds no 16 to 4096 bytes")


def _check_ownership(operator: Operator, classes: tuple[str, ...]) -> None:
    if operator.ownership is None:
        return
    if operator.replica is None:
        raise ConfigError("ownership: needs [replica]")
    names = [task.name for task in operator.ownership.task]
    if (warm := operator.ownership.warm) is not None:
        if operator.fleet is None or not operator.fleet.cold:
            raise ConfigError("ownership.warm: needs fleet.cold")
        if warm.cls not in classes:
            raise ConfigError(f"ownership.warm.class: the settings have no class {warm.cls!r}")
        if "warm" in names:
            raise ConfigError(f"ownership.task[{names.index('warm')}].name: 'warm' is that of ownership.warm")
    for number, task in enumerate(operator.ownership.task):
        if task.name in names[:number]:
            raise ConfigError(f"ownership.task[{number}].name: {task.name!r} stands there twice")
        address(task.at, f"ownership.task[{number}].at")


def _plain_name(text: str) -> bool:
    return 0 < len(text) <= 64 and text.isascii() and text.replace("-", "").replace("_", "").replace(".", "").isalnum()


def _check_settings(operator: Operator, name: str) -> None:
    if (terms := operator.settings) is None:
        return
    if importlib.util.find_spec("immutables") is None:
        raise ConfigError("settings: needs the extra: pip install 'frostspindle[settings]'")
    if operator.cores.workers > 1:
        raise ConfigError("settings: needs cores.workers = 1")
    for key, text in (("folder", terms.folder), ("file", terms.file)):
        if text and not os.path.isabs(text):
            raise ConfigError(f"settings.{key}: not an absolute path: {text!r}")
    if not 0 < len((operator.replica.me if operator.replica else name).encode()) <= 64:
        raise ConfigError("settings: needs a name of 1 to 64 bytes in LB_CONFIG or replica.me")
    if terms.alone not in ("meet", "refuse"):
        raise ConfigError(f"settings.alone: not meet or refuse: {terms.alone!r}")
    if terms.file and operator.replica:
        raise ConfigError("settings.file: with [replica] versions are pushed: frostspindle settings push")


def _check_subscriptions(operator: Operator, desk: bool) -> None:
    if operator.subscriptions and operator.cores.workers > 1:
        raise ConfigError("subscriptions: needs cores.workers = 1")
    if operator.subscriptions and not desk:
        raise ConfigError("subscriptions: needs LB_OPERATOR, where subscribers call")


def _tenants(named: tuple[str, ...], operator: Operator) -> Tenants:
    """Those of the settings and the operator's, who may add rules to one of the settings or a tenant of their own."""
    if len(set(named)) < len(named):
        raise ConfigError("settings: parties: a name stands there twice")
    rules = [Rule(tenant.name, *msgspec.structs.astuple(rule)) for tenant in operator.tenant for rule in tenant.rule]
    return Tenants(named, rules, [tenant.name for tenant in operator.tenant], operator.default_tenant)


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
    """Read the whole configuration, at the start and on SIGHUP; ConfigError names the key that can't be used."""
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
        settings = dataclasses.replace(
            settings,
            load_report_columns=tuple(  # settings may have either name
                REPORTED.get(name, name) for name in settings.load_report_columns
            ),
        )
    except ValueError as error:
        raise ConfigError(f"settings: {_one_line(error)}") from None
    classes = _named(document.settings, "categories")
    operator_file = environ.get("FROSTSPINDLE_OPERATOR", "")
    operator = read_operator(operator_file, classes, document.limits)
    _read_cores(operator.cores, environ, document.limits)
    if (most := resource.getrlimit(resource.RLIMIT_NOFILE)[0]) != resource.RLIM_INFINITY:
        # Past what the system gives a process nothing opens, whatever the file allows.
        document.limits.sockets = min(document.limits.sockets, most * operator.cores.workers)
    _check_recovery(operator, environ.get("LB_NAME") or document.name)
    _check_replica(operator, environ.get("LB_NAME") or document.name)
    _check_ownership(operator, classes)
    _check_settings(operator, environ.get("LB_NAME") or document.name)
    if operator.fleet and operator.cores.workers > 1:
        raise ConfigError("fleet: needs cores.workers = 1")
    if operator.fleet and operator.fleet.cold:
        if operator.fleet.cold_outside > settings.coordinators - 2:
            raise ConfigError(
                f"fleet.cold: {settings.coordinators} balancers, {operator.fleet.cold_outside} of them "
                "outside, leave fewer than two that share"
            )
        # To the module each coordinator leases its part of a cold engine, as one of several workers does.
        settings = dataclasses.replace(settings, workers=settings.coordinators)
    if operator.fleet and not (operator.fleet.name or environ.get("LB_NAME") or document.name):
        raise ConfigError("fleet.name: not set, and no name in LB_CONFIG")
    desk = environ.get("LB_OPERATOR") or document.operator
    if operator.metrics and not desk:
        raise ConfigError("metrics: needs operator (LB_OPERATOR), the port that answers it")
    if operator.metrics and importlib.util.find_spec("prometheus_client") is None:
        raise ConfigError("metrics: needs the extra: pip install 'frostspindle[metrics]'")
    _check_subscriptions(operator, bool(desk))
    plan = TdsPlan({}, {})
    tenants = _tenants(_named(document.settings, "parties"), operator)
    if tenants.on:
        # The module's tenant 0 is the default, without a bound; the operator's word on a share goes first.
        shares = dict(zip(tenants.names, settings.tenant_quotas_per_s, strict=False))
        shares.update({tenant.name: tenant.share_per_s for tenant in operator.tenant if tenant.share_per_s})
        settings = dataclasses.replace(
            settings, tenant_quotas_per_s=(0.0, *(shares.get(name, 0.0) for name in tenants.names))
        )
    if operator.tds:
        settings, plan = with_tds(settings, classes, operator.tds)
    scatter = None
    if operator.scatter is not None:
        settings, scatter = _with_scatter(settings, classes, _names(document.settings, "failureDomains"), operator)
    return Config(
        environ=environ,
        name=environ.get("LB_NAME") or document.name,
        listen=address(listen, "LB_LISTEN"),
        seed=seed,
        limits=document.limits,
        bus=address(document.bus, "bus") if document.bus else None,
        known_offset=document.known.offset,
        known=tuple(document.known.batch),
        settings=settings,
        classes=classes,
        kinds=_names(document.settings, "kinds"),
        zones=_names(document.settings, "failureDomains"),
        idle_ms=settings.connection_idle_ms or IDLE_MS,
        operator=operator,
        plan=plan,
        tenants=tenants,
        scatter=scatter,
        desk=desk if desk.startswith("/") else address(desk, "LB_OPERATOR") if desk else None,
        inherited=_descriptor(environ.get("LB_INHERITED_FD", "")),
    )


def _with_scatter(
    settings: Settings, classes: tuple[str, ...], zones: tuple[str, ...], operator: Operator
) -> tuple[Settings, Any]:
    if any(importlib.util.find_spec(name) is None for name in ("sqlglot", "rbloom")):
        raise ConfigError("scatter: needs the extra: pip install -e '.[predicates]'")
    from frostspindle.catalogue import CatalogueError, with_scatter

    if operator.fleet is None:
        raise ConfigError("scatter: needs [fleet], of one coordinator at least")
    try:
        return with_scatter(settings, classes, zones, operator.scatter)
    except CatalogueError as error:
        raise ConfigError(str(error)) from None


def with_tds(settings: Settings, names: tuple[str, ...], tds: Tds) -> tuple[Settings, TdsPlan]:
    """Return the decision module's settings with the TDS classes and kinds added.

    A request stays among engines that speak its client's protocol. The module's own placement rule sees to that: the
    classes of each front are bound to the kinds of that front's engines.
    """
    first = len(settings.kind_cores)
    kinds: dict[tuple[float, float], int] = {}
    for engine in tds.engine:
        kinds.setdefault((engine.cores, engine.memory_mb), first + len(kinds))
    plan = TdsPlan({}, kinds)
    here = frozenset(kinds.values())
    classes = [dataclasses.replace(c, only_kinds=c.only_kinds or frozenset(range(first))) for c in settings.classes]
    for login in tds.login:
        if login.cls not in plan.classes:
            plan.classes[login.cls] = len(classes)
            classes.append(
                dataclasses.replace(settings.classes[names.index(login.cls)], only_kinds=here, only_zones=None)
            )
    memory = (settings.kind_memory_mb + (0.0,) * first)[:first]
    return dataclasses.replace(
        settings,
        classes=tuple(classes),
        kind_cores=settings.kind_cores + tuple(cores for cores, _ in kinds),
        kind_memory_mb=memory + tuple(size for _, size in kinds),
    ), plan


def _named(settings: dict[str, Any], key: str) -> tuple[str, ...]:
    """The names of a list's entries, a number for one without."""
    entries = settings.get(key) or []
    if not isinstance(entries, list) or not all(isinstance(entry, dict) for entry in entries):
        raise ConfigError(f"settings: {key}: not a list of objects")
    return tuple(str(entry.get("name", number)) for number, entry in enumerate(entries))


def _names(settings: dict[str, Any], key: str) -> tuple[str, ...]:
    value = settings.get(key) or []
    if not isinstance(value, (list, str)):
        raise ConfigError(f"settings: {key}: not a list of names")
    return tuple(map(str, value)) if isinstance(value, list) else tuple(value.split(","))
