"""Backends of a zone are replaced while its only edge machine is stopped and started as planned."""

import asyncio
import pathlib
import random
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).parents[1] / "standins"))
import lab as labs  # noqa: E402
from ends import RequesterFlow  # noqa: E402

ROUTE = "127.198.0.1:8443"
ROUNDS = 3
# Longer than the 15 s for which entries wait for a side process that was stopped as planned.
ROUND_TIME = 17.0
START_AFTER_STOP = 0.05
FLOW_TIME = 4.0


async def flows_of(lab, requester):
    """Opens a flow now and then and sends requests on it, with pauses, for some seconds."""

    async def use(flow):
        if not await flow.open():
            lab.tell(f"{requester.ip}:{flow.key[1]}", flow.state)
            return
        end = lab.now() + FLOW_TIME
        while flow.state == "open" and lab.now() < end:
            lab.tell(*await flow.request())
            await asyncio.sleep(0.2)
        flow.close()

    while True:
        lab.tasks.append(asyncio.create_task(use(RequesterFlow(requester, ROUTE))))
        await asyncio.sleep(random.uniform(0.2, 0.4))


async def case(lab):
    lab.store.put("config", "main", labs.config(3, {"r": (ROUTE, "svc-a")}, ["svc-a"]))
    for backend in lab.backends:
        backend.start()
    await lab.wait_ready()
    for zone, count in zip(lab.zones, (2, 2, 8)):
        lab.add_requesters(zone, count)
    lab.run_requesters(lambda requester: flows_of(lab, requester))
    await asyncio.sleep(6)
    edge = next(m for m in lab.edges if m.zone == "c")
    current = [backend for backend in lab.backends if backend.machine.zone == "c"]
    for number in range(ROUNDS):
        lab.note(f"round {number + 1}")
        if lab.trouble:
            edge.signal(signal.SIGTERM)
            lab.note(f"{edge.name} is stopped as planned")
        await asyncio.sleep(START_AFTER_STOP)
        new = lab.add_side("c", "svc-a")
        new.machine.run()
        new.start(first_beat=0.1)
        lab.note(f"{new.machine.name} and {new.name} start")
        current.append(new)
        await asyncio.sleep(1.5)
        lab.tasks.append(asyncio.create_task(current.pop(0).leave()))
        await asyncio.sleep(ROUND_TIME)
        lab.note(f"{new.name} took {len(new.opened)} openings")
    lab.note("served: %d of %d" % lab.served_share(0, lab.now()))
    return not lab.breaches


labs.main(case, pathlib.Path(__file__).parent, zones=("a", "b", "c"), edges=(3, 3, 1),
          sides=(("a", "svc-a"), ("a", "svc-a"), ("a", "svc-a"), ("b", "svc-a"), ("b", "svc-a"),
                 ("c", "svc-a"), ("c", "svc-a")))
