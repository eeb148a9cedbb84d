"""The operator of a soak, who writes a series of configurations that add and remove keys and
routes."""
import dataclasses

import standin_platform


@dataclasses.dataclass(frozen=True)
class Configuration:
    """One version. `keys` and `routes` are in addition to those that every version has."""
    version: int
    keys: tuple = ()
    routes: tuple = ()

    def allows(self, key, route):
        return key in (standin_platform.KEY, *self.keys) and \
            route in (*standin_platform.STEADY_ROUTES, *self.routes)

    def encode(self):
        return standin_platform.configuration(self.version, self.routes, self.keys)


class Operator:
    """Writes configurations to the store; the response of the store acknowledges them."""

    MAX_ADDED = 5

    def __init__(self, store, audit):
        self.store = store
        self.audit = audit
        self.current = Configuration(1)
        # All names that have been added; callers keep using them after their removal.
        self.known_keys = []
        self.known_routes = []

    async def write(self, configuration):
        self.current = configuration
        self.audit.configuration_sent(configuration)
        await self.store.put("op", "config", configuration.encode())
        self.audit.configuration_acknowledged(configuration)

    async def add_route(self):
        version = self.current.version + 1
        self.known_routes.append(f"extra{version}")
        await self.write(dataclasses.replace(
            self.current, version=version, routes=(*self.current.routes, f"extra{version}")))

    async def add_key(self):
        version = self.current.version + 1
        self.known_keys.append(f"key-{version}")
        await self.write(dataclasses.replace(
            self.current, version=version, keys=(*self.current.keys, f"key-{version}")))

    async def remove(self, kind, name):
        remaining = tuple(it for it in getattr(self.current, kind) if it != name)
        await self.write(dataclasses.replace(
            self.current, version=self.current.version + 1, **{kind: remaining}))

    async def change(self, random):
        """Adds or removes one key or route."""
        kind, add = random.choice((("keys", self.add_key), ("routes", self.add_route)))
        present = getattr(self.current, kind)
        if present and (len(present) >= self.MAX_ADDED or random.random() < 0.4):
            await self.remove(kind, random.choice(present))
        else:
            await add()
