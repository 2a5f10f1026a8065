"""A liveness report of another writer, without the field `address`, reaches the machine of a live
back end with open flows."""
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins-2"))
import deployment as d


def play(make, trouble):
    site = make()
    site.start()
    requester = site.requester()
    opened = [port for port in range(40001, 40017) if requester.open(port)]
    for port in opened:
        if not requester.request(port, "first-%d" % port):
            raise d.CannotRun("a request on a calm system was not answered")
    back_end = max(site.back_ends, key=lambda item: len(item.flows))
    machine = back_end.machine
    held = len(back_end.flows)
    site.record("%d of %d open flows are at %s" % (held, len(opened), back_end.ident))
    if held < 2:
        raise d.CannotRun("too few flows at one back end")
    time.sleep(4)  # Longer than contactMs: all machines are in touch.
    if trouble:
        body = {"service": machine.service, "zone": machine.zone, "version": "v1", "slots": 9,
                "state": "ready", "warmupLeftMs": 0, "seqNo": 1, "born": int(time.time() * 1000)}
        status = d.put_report(machine, "other-writer", body)
        site.record("report of another writer without an address to %s: %s"
                    % (machine.name, status))
    time.sleep(1)
    for port in opened:
        requester.request(port, "second-%d" % port)
    broken = [port for port, state, own in requester.resets if state == "open" and own]

    # Not judged: the back end is not used again, as its own reports count as late.
    time.sleep(4)
    before = len(back_end.flows)
    more = [port for port in range(41001, 41017) if requester.open(port)]
    site.record("%d more flows opened, %d of them at %s, which lives and reports"
                % (len(more), len(back_end.flows) - before, back_end.ident))
    if broken:
        return ("FLOW: %d open flows got a reset that their back end did not send; it lives and "
                "holds them" % len(broken))
    return None


d.main(play)
