#!/usr/bin/env python3
"""Writes the settings of every node of both example deployments (docs/design.md section 1.2).

Each zone has the instances of one rack: 6 servers of each service over 3 regions with 2 zones each
gives one instance of each service in every zone. Instances have loopback addresses.
"""

import json
import pathlib

ROOT = pathlib.Path(__file__).resolve().parent.parent

DEPLOYMENTS = [
    {
        "directory": "oshana",
        "network": 1,
        "profile": "bytes",
        "log_region": "north-oshana",
        "secret": "oshana-example-secret",
        "services": ["field-log", "claims-ledger"],
        "zones": [
            ("north-oshana", "ondangwa"),
            ("north-oshana", "oshakati"),
            ("kunene-west", "opuwo"),
            ("kunene-west", "sesfontein"),
            ("kavango-east", "rundu"),
            ("kavango-east", "divundu"),
        ],
    },
    {
        "directory": "blue-mahoe",
        "network": 2,
        "profile": "convergence",
        "log_region": "west",
        "secret": "blue-mahoe-example-secret",
        "services": ["dispatch", "fleet"],
        "zones": [
            ("west", "negril"),
            ("west", "savanna-la-mar"),
            ("north", "montego-bay"),
            ("north", "ocho-rios"),
            ("east", "port-antonio"),
            ("east", "morant-bay"),
        ],
    },
]

# Port of the platform's log at 127.0.N.1; the instances follow from 127.0.N.11 on.
LOG_PORT = 7000
NODE_PORT = 7100
DATA_PORT = 8100
ADMIN_PORT = 9100
FIRST_HOST = 11


def instances(deployment):
    """Yields (name, region, zone, number) of each instance."""
    number = 0
    for region, zone in deployment["zones"]:
        for service in deployment["services"]:
            yield f"{zone}-{service}", region, zone, number
            number += 1


def settings_of(deployment, region, zone, number, seeds):
    host = f"127.0.{deployment['network']}.{FIRST_HOST + number}"
    return {
        "node_address": f"{host}:{NODE_PORT + number}",
        "data_address": f"{host}:{DATA_PORT + number}",
        "admin_address": f"{host}:{ADMIN_PORT + number}",
        "region": region,
        "zone": zone,
        "seeds": seeds,
        "log_address": f"127.0.{deployment['network']}.1:{LOG_PORT}",
        "log_region": deployment["log_region"],
        "secret": deployment["secret"],
        "profile": deployment["profile"],
    }


def main():
    for deployment in DEPLOYMENTS:
        directory = ROOT / "examples" / deployment["directory"] / "settings"
        directory.mkdir(parents=True, exist_ok=True)
        nodes = list(instances(deployment))
        # The first instance of every zone.
        step = len(deployment["services"])
        seeds = [
            f"127.0.{deployment['network']}.{FIRST_HOST + number}:{NODE_PORT + number}"
            for _, _, _, number in nodes[::step]
        ]
        for name, region, zone, number in nodes:
            content = settings_of(deployment, region, zone, number, seeds)
            path = directory / f"{name}.json"
            path.write_text(json.dumps(content, indent=2) + "\n", encoding="utf-8")


if __name__ == "__main__":
    main()
