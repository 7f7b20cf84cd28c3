"""The operator of a large mesh: hundreds of routes at several hosts, a few changed in each version."""

import asyncio

import mesh as m

from routes import Operator, Version

KINDS = ["safe", "unsafe"]
MAX_HOSTS = 12
LATELY = 16


class ManyRoutes(Operator):
    """Routes are named by host and prefix. The first ones are never changed, nor are those that fill the
    table; those that are changed are added on top."""

    def __init__(self, mesh, seed, services, kept, pause_s):
        super().__init__(mesh, seed, services)
        self.kept = kept
        self.pause_s = pause_s
        self.last_host = 0
        self.kept_keys = []

    def new_host(self):
        self.last_host += 1
        return "h%d.example" % self.last_host

    def new_key(self, hosts):
        return self.chance.choice(hosts) + self.new_prefix()

    @staticmethod
    def split(key):
        host, path = key.split("/", 1)
        return host, "/" + path

    @staticmethod
    def kind(key):
        """A route has the same kind in all versions."""
        return KINDS[int(key.split("/r")[1].strip("/")) % 2] if "/r" in key else KINDS[0]

    def first_config(self):
        hosts = [self.new_host() for _ in range(3)]
        routes = {self.new_key(hosts): self.services[i % len(self.services)]
                  for i in range(self.kept)}
        self.kept_keys = sorted(routes)
        return self.make(Version(1, routes, 0.0))

    def make(self, version):
        self.versions.append(version)
        rows = []
        for key, service in sorted(version.services.items()):
            host, prefix = self.split(key)
            rows.append(["n" + prefix.strip("/"), host, prefix, self.kind(key), "1200ms", "400ms", 1,
                         None, 2, service])
        return m.make_config(version.number, rows, self.services)

    def next_config(self):
        latest = self.versions[-1]
        routes = dict(latest.services)
        kept = set(self.kept_keys)
        for _ in range(self.chance.choice([1, 1, 2, 4, 8])):
            changeable = sorted(set(routes) - kept)
            hosts = sorted({self.split(key)[0] for key in routes})
            kind = self.chance.choice(["add", "add", "host", "move", "drop"])
            if len(changeable) > 60:
                kind = "drop"
            if kind == "host" and len(hosts) < MAX_HOSTS:
                hosts = [self.new_host()]
            if kind in ("add", "host") or not changeable:
                key = self.new_key(hosts)
                routes[key] = self.chance.choice(self.services)
            else:
                key = self.chance.choice(changeable)
                others = [each for each in self.services if each != routes[key]]
                if kind == "move":
                    routes[key] = self.chance.choice(others)
                else:
                    del routes[key]
            self.touched.append(key)
        return self.make(Version(latest.number + self.chance.randint(1, 3), routes,
                                 self.mesh.record.now()))

    async def run(self, end):
        while self.mesh.record.now() < end:
            await asyncio.sleep(self.chance.uniform(0.2, 1.8) * self.pause_s)
            await self.mesh.store.put_config(self.next_config())
            self.versions[-1].acknowledged = self.mesh.record.now()

    def pick(self):
        kind = self.chance.random()
        if kind < 0.05:
            return "h1.example/none%d/" % self.chance.randint(1, 1000)
        if kind < 0.3 or not self.touched:
            return self.chance.choice(self.kept_keys)
        return self.chance.choice(self.touched[-LATELY:])
