"""The operator, who adds, moves and drops routes, and the judge of rule CONFIG: what the machines did
with requests is compared with what each version of the configuration allows."""

import asyncio
import random

import mesh as m

CONFIG_APPLY_S = 2.5
STABLE_WINDOW_S = 3.0
DOWNGRADE_S = 0.25
KEPT_ROUTES = 2
MAX_ROUTES = 30


class Version:
    """One configuration. `sent` and `acknowledged` are times of the record."""

    def __init__(self, number, services, sent):
        self.number = number
        self.services = services  # prefix -> service
        self.sent = sent
        self.acknowledged = float("inf")

    def allows(self, prefix, service):
        """Whether a request with this prefix may run at `service`; None for a 404."""
        return self.services.get(prefix) == service


class Operator:
    def __init__(self, mesh, seed, services):
        self.mesh = mesh
        self.chance = random.Random(seed)
        self.services = services
        self.versions = []
        self.touched = []  # prefixes that were changed, the latest last
        self.last_prefix = 0

    def new_prefix(self):
        self.last_prefix += 1
        return "/r%d/" % self.last_prefix

    def first_config(self):
        routes = {self.new_prefix(): self.services[i % len(self.services)]
                  for i in range(KEPT_ROUTES)}
        return self.make(Version(1, routes, 0.0))

    def make(self, version):
        self.versions.append(version)
        rows = [m.route("n" + prefix.strip("/"), prefix, "safe", service)
                for prefix, service in sorted(version.services.items())]
        return m.make_config(version.number, rows, self.services)

    def next_config(self):
        latest = self.versions[-1]
        routes = dict(latest.services)
        changeable = [prefix for prefix in routes if int(prefix[2:-1]) > KEPT_ROUTES]
        for _ in range(self.chance.choice([1, 1, 1, 3])):
            kind = self.chance.choice(["add", "add", "move", "drop"])
            if kind == "add" and len(routes) < MAX_ROUTES or not changeable:
                prefix = self.new_prefix()
                routes[prefix] = self.chance.choice(self.services)
            else:
                prefix = self.chance.choice(changeable)
                if kind == "move" and prefix in routes:
                    others = [each for each in self.services if each != routes[prefix]]
                    routes[prefix] = self.chance.choice(others)
                else:
                    routes.pop(prefix, None)
            self.touched.append(prefix)
        return self.make(Version(latest.number + self.chance.randint(1, 3), routes,
                                 self.mesh.record.now()))

    async def run(self, end):
        while self.mesh.record.now() < end:
            await self.mesh.store.put_config(self.next_config())
            self.versions[-1].acknowledged = self.mesh.record.now()
            pause = self.chance.choice([0.3, 0.3, 1.0, 2.0, 4.0])
            await asyncio.sleep(self.chance.uniform(0.5, 1.5) * pause)

    def pick(self):
        """A prefix to ask for: mostly one that was changed lately."""
        kind = self.chance.random()
        if kind < 0.1:
            return "/none%d/" % self.chance.randint(1, 1000)
        if kind < 0.3 or not self.touched:
            return "/r%d/" % self.chance.randint(1, KEPT_ROUTES)
        return self.chance.choice(self.touched[-12:])


class Judge:
    """Collects what the machines did and says which of it breaks rule CONFIG."""

    def __init__(self, operator, faults):
        self.operator = operator
        self.faults = faults
        self.seen = []  # (sent, ended, node, prefix, service or None for 404, request id)

    def add(self, node, prefix, outcome, service):
        begun = self.operator.mesh.record.begun
        if outcome.status == 404 or service is not None:
            self.seen.append((outcome.sent - begun, outcome.ended - begun, node, prefix,
                              None if outcome.status == 404 else service, outcome.name))

    def is_in_touch(self, node, at):
        spans = self.faults.whole + self.faults.single[node]
        return not any(begin <= at and end > at - STABLE_WINDOW_S for begin, end in spans)

    def violations(self):
        versions = self.operator.versions
        broken = []
        judged = 0
        newest_used = {}  # node -> (version, when its effect was seen)
        for sent, ended, node, prefix, service, name in sorted(self.seen):
            possible = [v for v in versions if v.sent <= ended]
            matching = [v.number for v in possible if v.allows(prefix, service)]
            what = "%s at %s, sent at %.2f, %s" % (
                prefix, node, sent, "404" if service is None else "run by " + service)
            if not matching:
                broken.append("%s (%s): no version allows it" % (what, name))
                continue
            if not self.is_in_touch(node, sent):
                newest_used.pop(node, None)
                continue
            judged += 1
            due = [v for v in possible if v.acknowledged + CONFIG_APPLY_S < sent]
            if due and max(matching) < due[-1].number:
                broken.append("%s (%s): version %d was acknowledged at %.2f" % (
                    what, name, due[-1].number, due[-1].acknowledged))
            used, since = newest_used.get(node, (0, 0.0))
            if max(matching) < used and sent > since + DOWNGRADE_S:
                broken.append("%s (%s): the effect of version %d was seen at %.2f" % (
                    what, name, used, since))
            if min(matching) > used:
                newest_used[node] = (min(matching), ended)
        return judged, broken
