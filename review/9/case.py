"""The process beside a back end is killed less than one liveness report after the back end has
started. The back end numbers its reports from 0."""
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins-2"))
import deployment as d


def play(make, trouble):
    site = make()
    machine = site.sides[0]
    site.start(without_back_end=[machine])
    requester = site.requester()
    back_end = d.BackEnd(machine, "i-new", site.record, site.work, first_number=0)
    site.back_ends.append(back_end)
    start = time.monotonic()
    time.sleep(0.1)
    ports = list(range(40001, 40017))
    if not all([requester.open(port) for port in ports]):
        raise d.CannotRun("a flow did not open")
    judged = [port for port in ports if back_end.holds(port)]
    site.record("%d flows are open at the new back end" % len(judged))
    if not judged or back_end.sequence != 0 or time.monotonic() - start > 0.9:
        raise d.CannotRun("too late for a stop before the second report")
    if trouble:
        machine.end()
        time.sleep(0.1)
        machine.start()
    # Longer than contactMs: all machines are in touch again.
    time.sleep(7)
    if back_end.answers_to_reports.get(1) != 200:
        raise d.CannotRun("the process was not up again for the second report")
    for port in judged:
        if not back_end.holds(port):
            raise d.CannotRun("the back end has lost the flow from port %d" % port)
        requester.request(port, "second-%d" % port)
    broken = [port for port, state, own in requester.resets if state == "open" and own]
    if broken:
        return ("FLOW: %d of %d open flows got a reset that their back end did not send; it lives "
                "and holds them" % (len(broken), len(judged)))
    return None


d.main(play)
