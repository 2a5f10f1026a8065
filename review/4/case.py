"""A liveness report of another writer, with a service that no desired state names."""

import asyncio
import json
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).parents[1] / "standins"))
import lab as labs  # noqa: E402
from ends import http_call  # noqa: E402

ROUTE = "127.198.0.1:8443"


async def case(lab):
    lab.store.put("config", "main", labs.config(3, {"r": (ROUTE, "svc-a")}, ["svc-a"]))
    for backend in lab.backends:
        backend.start()
    await lab.wait_ready()
    for zone in lab.zones:
        lab.add_requesters(zone, 6)
    lab.run_requesters(lambda requester: lab.long_flows(requester, ROUTE))
    await asyncio.sleep(8)
    disturbed = lab.backends[0]
    held = sum(disturbed.holds_open(key) for key in disturbed.flows)
    lab.note(f"{disturbed.name} holds {held} open flows")
    if lab.trouble:
        body = {"service": "node-monitor", "address": disturbed.machine.app,
                "zone": disturbed.machine.zone, "version": "v1", "slots": 1, "state": "ready",
                "warmupLeftMs": 0, "seqNo": 1, "born": int(time.time() * 1000)}
        status = await http_call(disturbed.machine.control, "PUT", "/v1/instances/monitor-1",
                                 json.dumps(body).encode(), source=disturbed.machine.ip)
        lab.note(f"foreign report to the node beside {disturbed.name}: {status}")
    begin = lab.now()
    await asyncio.sleep(12)
    for backend in lab.backends:
        taken = sum(at > begin for at, _ in backend.opened)
        lab.note(f"{backend.name} took {taken} openings since")
    lab.note("served since: %d of %d" % lab.served_share(begin, lab.now()))
    return not lab.breaches


labs.main(case, pathlib.Path(__file__).parent,
          sides=(("a", "svc-a"), ("a", "svc-a"), ("b", "svc-a"), ("b", "svc-a")))
