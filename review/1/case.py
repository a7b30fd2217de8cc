"""The second copy of a rejection is taken for the answer to the retry that follows it on the same connection."""

import asyncio
import os
import random
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins"))
import standins  # noqa: E402

# The doses of the day `scale-1` of the site file, which has both at once on this service: `garble`, how = "extra late", share = 0.6,
# x = 0.03, for_s = 5.0, and `srv_grey`, how = "shed all", x = 0.55, for_s = 8.5.
GARBLED_BACKENDS, GARBLED_ANSWERS, GARBLE_S = 0.6, 0.03, 5.0
SHED = 0.35
ROUNDS, PAUSE_S = 7, 1.5

# The servers of the sheet, and less than its 107 and 254 requests a second.
ORDERS_PER_S, READS_PER_S, BACKENDS = 100.0, 60.0, 18
WORK_S = 0.15
PROMISES = {408, 421, 429, 503}


def config():
    def route(name, prefix, kind, priority, timeout, objective):
        return {
            "name": name, "pathPrefix": prefix, "routeType": kind, "timeoutS": timeout, "objectiveS": objective,
            "priority": priority, "service": "archiv", "maxAttempts": 2,
        }

    return {
        "version": "r1",
        "services": [{"name": "archiv", "healthPath": "/healthz", "maxConns": 63, "sharded": True, "warmS": 2.0}],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 65536, "headerTimeoutS": 5, "idleTimeoutS": 15},
        "hosts": [{"host": "denik.example", "paths": [
            route("log-reads", "/logs/", "idempotent", 2, 1.25, 0.6),
            route("work-orders", "/orders/", "non_idempotent", 0, 1.0, 0.5),
        ]}],
    }


async def send(record, host, kind, number):
    attempt = f"{kind}{number:06d}"
    headers = {"Host": "denik.example", "Attempt-Id": attempt, "Shard-Key": random.randrange(65536)}
    if kind == "order":
        method, path, body, headers["Deadline-Ms"] = "PUT", "/orders/o", b"send a crew", 1200
    else:
        method, path, body, headers["Deadline-Ms"] = "GET", "/logs/l", b"", 1500
    record("sends", id=attempt, host=host.name)
    try:
        status = (await standins.call(host.ip, host.frontend, method, path, headers, body)).status
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError) as error:
        status = f"none ({type(error).__name__})"
    record("answered", id=attempt, status=status)
    return status


async def load(record, hosts, kind, per_second, until):
    number, tasks = 0, []
    while time.monotonic() < until:
        number += 1
        tasks.append(asyncio.create_task(send(record, random.choice(hosts), kind, number)))
        await asyncio.sleep(random.expovariate(per_second))
    await asyncio.gather(*tasks)


async def disrupt(fleet, record):
    for _ in range(ROUNDS):
        garbled = random.sample(fleet.backends, int(len(fleet.backends) * GARBLED_BACKENDS))
        record("trouble", kinds="srv_grey,garble", garbled=",".join(backend.name for backend in garbled))
        for backend in fleet.backends:
            backend.shed = SHED
        for backend in garbled:
            backend.extra = GARBLED_ANSWERS
        await asyncio.sleep(GARBLE_S)
        for backend in fleet.backends:
            backend.shed = backend.extra = 0.0
        record("trouble", kinds="none")
        await asyncio.sleep(PAUSE_S)


async def case(fleet, record, trouble):
    await fleet.start(config())
    await fleet.add_backends(BACKENDS, "archiv", True, WORK_S, "archiv")
    await fleet.start_hosts()
    warm = iter(range(1, 1_000_000))

    async def serves(host):
        return await send(record, host, "warm", next(warm)) == 200

    await fleet.until_ready(serves)
    await asyncio.sleep(2)
    until = time.monotonic() + ROUNDS * (GARBLE_S + PAUSE_S) + 2
    running = [
        load(record, fleet.hosts, "order", ORDERS_PER_S, until),
        load(record, fleet.hosts, "read", READS_PER_S, until),
    ]
    if trouble:
        running.append(disrupt(fleet, record))
    await asyncio.gather(*running)
    # What was sent late may still run.
    await asyncio.sleep(3)
    return judge(record)


def judge(record):
    runs, answers = {}, {}
    for _, event, fields in record.lines:
        if event == "runs":
            runs.setdefault(fields["id"], []).append(fields["backend"])
        elif event == "answered":
            answers[fields["id"]] = fields["status"]
    broken = []
    for attempt, backends in sorted(runs.items()):
        if not attempt.startswith("order"):
            continue
        answer = answers.get(attempt)
        if len(backends) > 1:
            broken.append(f"TWICE: {attempt} ran {len(backends)} times ({', '.join(backends)}), answered {answer}")
        if answer in PROMISES:
            # Another rule, broken by the same fault. It doesn't decide the result.
            print(f"besides, REFUSED: {attempt} was answered {answer} and ran at {', '.join(backends)}")
    statuses = [status for attempt, status in answers.items() if attempt.startswith("order")]
    print(f"orders: {len(statuses)} sent, {statuses.count(200)} answered 200, {statuses.count(503)} answered 503")
    return broken


standins.main(case, HERE, standins.CHD_BRANA)
