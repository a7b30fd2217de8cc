"""The machines of one failure domain are cut off from the store, two servers leave the list meanwhile, and hosts of the other domains are restarted.

A host that starts reads the list without them, and doesn't know that they have left. To a host that still lists them it sends only
what has changed since, so that this one goes on sending to them after the cut, for as long as it takes its data from other hosts.
"""

import asyncio
import os
import random
import signal
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins-2"))
sys.dont_write_bytecode = True

import fleet as f  # noqa: E402

DRAIN_S = 2.0  # `drainS` of the settings
STABLE_S = 3.0  # `stableWindowS`
CUT_S = 5.5  # `core_cut`: the site file cuts machines off for 5.5 s
RESTART_AFTER_S = 0.5  # a killed process is restarted after a short delay
SERVES_S = 20.0  # a server that has left the list serves for `drainS` and at times many seconds longer
CONFIG = {
    "version": "r7",
    "services": [{"name": "brinedesk", "healthPath": "/healthz", "maxConns": 130}],
    "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 1048576, "headerTimeoutS": 5.0, "idleTimeoutS": 15.0},
    "hosts": [{"host": "orders.example", "paths": [{"name": "orders", "pathPrefix": "/orders/", "routeType": "non_idempotent", "timeoutS": 5.0,
                                                     "objectiveS": 0.8, "priority": 1, "maxAttempts": 1, "service": "brinedesk"}]}],
}


async def case(record, trouble):
    fleet = f.Fleet(record)
    fleet.store = store = await f.Store(f.address(1)).start()
    path = await f.Path(store, f.address(2)).start()
    store.put("keyed.op", "config", CONFIG)
    servers = []
    for zone, count in [("zone-a", 6), ("zone-b", 5), ("zone-c", 3)]:
        for _ in range(count):
            ident = "i-%08x" % random.getrandbits(32)
            servers.append(await f.Backend(store, record, ident, "brinedesk", zone, f.address(100 + len(servers)), work=0.25).start())
    for zone, count, first in [("zone-a", 5, 10), ("zone-b", 4, 20), ("zone-c", 3, 30)]:
        to = path if zone == "zone-a" else None
        fleet.hosts += [f.Host(fleet, "edge-%s-%d" % (zone, n + 1), zone, f.address(first + n), to) for n in range(count)]
    near = [host for host in fleet.hosts if host.zone == "zone-a"]
    far = [host for host in fleet.hosts if host.zone != "zone-a"]
    fleet.seeds = [far[0], far[1], far[4]]
    sent, sent_at = {}, {}

    async def order(n):
        host = near[n % len(near)]
        attempt = "o%d" % n
        sent[attempt], sent_at[attempt] = host, f.now()
        record.line("send", attempt, host.name)
        got = await f.send(host.frontend, "POST", "orders.example", "/orders/%d" % n, attempt)
        record.line("answer", attempt, got.status)
        return attempt, got.status

    async def clients(end):
        tasks, n = [], 0
        while f.now() < end:
            tasks.append(asyncio.ensure_future(order(n)))
            n += 1
            await asyncio.sleep(0.0125)
        return await asyncio.gather(*tasks)

    try:
        for host in fleet.hosts:
            host.start()
        await fleet.until("the hosts are ready", fleet.all_ready, 20)
        await asyncio.sleep(8)
        load = asyncio.ensure_future(clients(f.now() + 27))
        await asyncio.sleep(3)
        if trouble:
            path.cut()
            record.line("cut off from the store:", *[host.name for host in near])
        cut_at = f.now()
        await asyncio.sleep(0.3)
        leaving = [server for server in servers if server.zone == "zone-a"][:2]
        acked = {}
        for server in leaving:
            acked[server.ident] = server.leave()
            record.line("the store acknowledged that", server.ident, "has left")
        await asyncio.sleep(0.1)
        if trouble:
            for host in far:
                host.signal(signal.SIGKILL)
            for host in far:
                host.process.wait()
            await asyncio.sleep(RESTART_AFTER_S)
            for host in far:
                host.start()
            record.line("restarted:", *[host.name for host in far])
        await asyncio.sleep(cut_at + CUT_S - f.now())
        path.heal()
        record.line("the cut is over")
        in_touch_from = f.now() + STABLE_S
        await asyncio.sleep(max(acked.values()) + SERVES_S - f.now())
        for server in leaving:
            server.end(leave=False)
            record.line("exit", server.ident)
        answers = dict(await load)
    finally:
        fleet.close()
    late = [(server, attempt, begun) for server in leaving for attempt, begun in server.ran
            if sent_at[attempt] > in_touch_from and begun > acked[server.ident] + DRAIN_S]
    for server, attempt, begun in late:
        record.line("too late:", attempt, "sent to", sent[attempt].name, "reached", server.ident, "%.3f s" % (begun - acked[server.ident]),
                    "after its leaving was acknowledged and was answered", answers[attempt])
    ok = sum(status == 200 for status in answers.values())
    lost = sum(answers[attempt] != 200 for _, attempt, _ in late)
    summary = (len(answers), "orders,", ok, "answered with success;", len(late), "sent to a machine in touch reached a server that had left too late, of these",
               lost, "were lost")
    record.line(*summary)
    print(*summary)
    if ok * 2 < len(answers):
        raise f.Unusable("most orders weren't served")
    return not late


f.run_case(HERE, case)
