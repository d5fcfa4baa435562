"""Component for the TDS front and the driver of its engines."""

from __future__ import annotations

from frostspindle import config as configuration
from frostspindle.components.base import Component
from frostspindle.config import Config, ConfigError
from frostspindle.host import ProgramContext
from frostspindle.ledger.tenant_rules import RequestAttributes
from frostspindle.net.http.statements import schema, table_group
from frostspindle.net.tds.driver import TdsEngines
from frostspindle.net.tds.front import TdsFront
from frostspindle.policy import EndpointListKind


class TdsComponent(Component):
    """TDS clients and engines; a reload may change the logins and engines."""

    def __init__(self, program: ProgramContext) -> None:
        super().__init__(program)
        config = program.config
        tds = config.operator.tds
        assert tds is not None
        self.driver = TdsEngines(tds, config.plan.kinds, program.core, program.telemetry)
        self.front = TdsFront(
            tds,
            configuration.address(tds.listen, "tds.listen"),
            config.plan.classes,
            config.seed,
            program.core,
            program.telemetry,
            table_group,
        )
        if config.tenants.has_tenants:
            self.front.tenant = lambda login, address, statement: config.tenants.number(
                RequestAttributes("tds", address, {}, login.user, login.application, login.database, schema(statement))
            )
        program.tds_driver = self.driver
        program.tds = self.front

    @property
    def port(self) -> int | None:
        """Return the port that TDS clients connect to."""
        return self.front.port

    @property
    def client_connections(self) -> int:
        """Return the number of TDS sessions."""
        return len(self.front.sessions)

    async def start(self) -> None:
        """Pass the engines to the core and listen. Raise OSError if the address can't be bound."""
        config = self.program.config
        self.driver.configure(self.front.tds.engine, EndpointListKind.FULL)
        await self.front.start(config.inherited is not None, config.tds_listener)

    def drain(self) -> None:
        """Start a drain: finish open requests and send clients away."""
        self.front.drain()

    def resume(self) -> None:
        """End a drain."""
        self.front.resume()

    def on_reload(self, config: Config) -> None:
        """Apply engines, their states and logins; sizes and classes that the policy does not know need a restart."""
        tds = config.operator.tds
        plan = self.program.config.plan
        if tds is None:
            raise ConfigError("tds: can't be turned off while running")
        for number, engine in enumerate(tds.engine):
            if (engine.cores, engine.memory_mb) not in plan.kinds:
                raise ConfigError(f"tds.engine[{number}].cores: a size that needs a new start")
        for number, login in enumerate(tds.login):
            if login.cls not in plan.classes:
                raise ConfigError(f"tds.login[{number}].class: a class that needs a new start")
        self.front.tds = tds
        self.driver.tds = tds
        self.driver.configure(tds.engine)

    def hand_over(self) -> None:
        """Stop listening, as a successor accepts."""
        self.front.leave()

    def stop_accepting(self) -> None:
        """Refuse log-ins and batches: TDS has no other way to tell clients of the end."""
        self.front.stop_accepting()

    @property
    def has_unfinished_work(self) -> bool:
        """Return whether a batch runs or is partly received, or a response is not sent completely."""
        return self.front.has_unfinished_work

    def finish(self) -> None:
        """Refuse partly received batches."""
        self.front.finish()

    async def close_clients(self, until_s: float) -> None:
        """Close all sessions, once their clients have read their responses."""
        await self.front.close(until_s)

    async def stop(self) -> None:
        """Close the front, then the driver."""
        await self.front.close()
        await self.driver.close()
