"""Two of the three edge machines of a zone are stopped and started as planned at the same time."""

import asyncio
import pathlib
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).parents[1] / "standins"))
import lab as labs  # noqa: E402

ROUTE = "127.198.0.1:8443"
ROUNDS = 4
ROUND_TIME = 12.0
FLOWS_EACH = 3


async def case(lab):
    lab.store.put("config", "main", labs.config(3, {"r": (ROUTE, "svc-a")}, ["svc-a", "svc-b"]))
    for backend in lab.backends:
        backend.start()
    await lab.wait_ready()
    for zone, count in zip(lab.zones, (4, 20)):
        lab.add_requesters(zone, count)
    for _ in range(FLOWS_EACH):
        lab.run_requesters(lambda requester: lab.long_flows(requester, ROUTE))
    lab.run_requesters(lambda requester: lab.fresh_flows(requester, ROUTE))
    await asyncio.sleep(6)
    machines = [m for m in lab.edges if m.zone == "b"]
    for number in range(ROUNDS):
        begin = lab.now()
        lab.note(f"round {number + 1}")
        for kept in range(3):
            if lab.trouble and kept != number % 3:
                machines[kept].signal(signal.SIGTERM)
                lab.note(f"{machines[kept].name} is stopped as planned")
        await asyncio.sleep(ROUND_TIME)
        lab.note("served: %d of %d" % lab.served_share(begin, lab.now()))
    return not lab.breaches


labs.main(case, pathlib.Path(__file__).parent, edges=(2, 3),
          sides=(("a", "svc-a"), ("a", "svc-a"), ("a", "svc-a"), ("b", "svc-b")))
