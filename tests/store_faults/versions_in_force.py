"""Finds versions that came into force late, from the nodes' logs: sharper than requests, which must hit the
right route at the right moment."""

import datetime
import re

from routes import CONFIG_APPLY_S

LINE = re.compile(r"^time=(\S+)Z .*event=configuration-in-force version=(\d+)", re.M)


def in_force(mesh, node):
    """Times of the record and versions, in order; None from each start of the process."""
    offset = mesh.record.begun_wall
    found = [(at, None) for at in node.started_at]
    for text, version in LINE.findall(mesh.log_of(node)):
        at = datetime.datetime.fromisoformat(text).replace(tzinfo=datetime.timezone.utc)
        found.append((at.timestamp() - offset, int(version)))
    return sorted(found, key=lambda item: item[0])


def late_versions(mesh, operator, judge, end):
    """Lines for each version that a node in touch did not have in force in time, and the longest time
    that one took there."""
    late = []
    longest = (0.0, "no version")
    for node in mesh.nodes.values():
        changes = in_force(mesh, node)
        for version in operator.versions[1:]:
            due = version.acknowledged + CONFIG_APPLY_S
            if due > end or not judge.is_in_touch(node.name, due):
                continue
            used = [number for at, number in changes if at <= due]
            came = min((at for at, number in changes
                        if number is not None and number >= version.number and at >= version.sent),
                       default=float("inf"))
            if not used or used[-1] is None:
                continue
            took = came - version.acknowledged
            if took <= CONFIG_APPLY_S or used[-1] < version.number:
                longest = max(longest, (took, "version %d at %s" % (version.number, node.name)))
            if used[-1] < version.number:
                late.append("version %d, acknowledged at %.3f, was in force at %s after %.2f s; "
                            "at its bound version %d was" % (
                                version.number, version.acknowledged, node.name, took, used[-1]))
    return late, longest
