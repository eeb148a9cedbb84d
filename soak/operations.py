"""The operator of a soak: configurations that add and remove keys and routes, in series."""
import dataclasses

import platform_side


@dataclasses.dataclass(frozen=True)
class Configuration:
    """One version. `keys` and `routes` come beside those that every version has."""
    version: int
    keys: tuple = ()
    routes: tuple = ()

    def allows(self, key, route):
        return key in (platform_side.KEY, *self.keys) and \
            route in (*platform_side.STEADY_ROUTES, *self.routes)

    def encode(self):
        return platform_side.configuration(self.version, self.routes, self.keys)


class Operator:
    """Writes configurations to the store, whose answer is the acknowledgement."""

    MOST_ADDED = 5

    def __init__(self, store, audit):
        self.store = store
        self.audit = audit
        self.newest = Configuration(1)
        # Names that once were allowed; callers go on to ask for them.
        self.known_keys = []
        self.known_routes = []

    async def write(self, configuration):
        self.newest = configuration
        self.audit.configuration_sent(configuration)
        await self.store.put("op", "config", configuration.encode())
        self.audit.configuration_acknowledged(configuration)

    async def add_route(self):
        version = self.newest.version + 1
        self.known_routes.append(f"extra{version}")
        await self.write(dataclasses.replace(
            self.newest, version=version, routes=(*self.newest.routes, f"extra{version}")))

    async def add_key(self):
        version = self.newest.version + 1
        self.known_keys.append(f"key-{version}")
        await self.write(dataclasses.replace(
            self.newest, version=version, keys=(*self.newest.keys, f"key-{version}")))

    async def remove(self, kind, name):
        left = tuple(it for it in getattr(self.newest, kind) if it != name)
        await self.write(dataclasses.replace(
            self.newest, version=self.newest.version + 1, **{kind: left}))

    async def change(self, random):
        """Adds or removes one key or route."""
        kind, add = random.choice((("keys", self.add_key), ("routes", self.add_route)))
        present = getattr(self.newest, kind)
        if present and (len(present) >= self.MOST_ADDED or random.random() < 0.4):
            await self.remove(kind, random.choice(present))
        else:
            await add()
