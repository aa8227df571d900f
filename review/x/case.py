"""All processes are killed and started again while the store turns six of eight gateways away."""

import os
import signal
import socket
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins"))
import standins  # noqa: E402

RECOVER_S = 12.0
CONTACT_S = 3.0
# Until the end of the store's impairment, 18 s after its beginning.
MEASURED_S = 4.0
HALLS = ["hall-a"] * 3 + ["hall-b"] * 3 + ["hall-c"] * 2
# The first two of each hall.
TURNED_AWAY = {1, 2, 4, 5, 7, 8}
SERVED_BY_STORE = {3, 6}
REQUESTERS = 8


def plan(_server, _request):
    time.sleep(0.02)
    return 200, [], b"ok"


def is_ready(site, number):
    """Asks a gateway as the platform does, each second, whether it may get new connections."""
    try:
        with socket.create_connection((site.ip(number), site.ports["ready"]), 0.5) as conn:
            conn.settimeout(0.5)
            conn.sendall(b"GET /readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            return conn.recv(64).startswith(b"HTTP/1.1 200")
    except OSError:
        return False


class Balancer(threading.Thread):
    """The platform's address: passes connections to the gateways that call themselves ready, or to
    all of them while none does."""

    def __init__(self, site):
        super().__init__(daemon=True)
        self.site, self.numbers = site, range(1, len(HALLS) + 1)
        self.ready = list(self.numbers)

    def run(self):
        while True:
            self.ready = [number for number in self.numbers if is_ready(self.site, number)]
            time.sleep(1)

    def choose(self, draw):
        numbers = self.ready or list(self.numbers)
        return numbers[draw % len(numbers)]


class Requester(threading.Thread):
    """Sends one safe request after the other, each on a connection of its own."""

    def __init__(self, number, site, balancer, record):
        super().__init__(daemon=True)
        self.number, self.site, self.balancer, self.record = number, site, balancer, record
        self.results, self.stop = [], False

    def run(self):
        count = 0
        while not self.stop:
            count += 1
            request_id = f"q{self.number}-{count}"
            sent, status = time.monotonic(), "none"
            name = f"front-{self.balancer.choose(self.number + count)}"
            try:
                with socket.create_connection(self.site.front(name), 1) as conn:
                    conn.settimeout(5)
                    conn.sendall(standins.request_bytes("GET", f"/kept/{request_id}", request_id,
                                                        4000))
                    status = conn.recv(65536)[9:12].decode() or "closed"
            except OSError as error:
                status = str(error)
            self.results.append((sent, status))
            self.record(f"{request_id} at {name}: {status}")
            time.sleep(0.1)


def case(site, record, trouble):
    store = site.store
    # One in each hall, as in the users' example; may be stale.
    site.seeds = (1, 4, 7)
    store.put("config", "main", standins.config(7, [standins.route("/kept/", "safe")]))
    servers = [standins.Server(site.ip(100 + number), record, f"i-{number}", plan, store,
                               zone=hall) for number, hall in enumerate(("hall-a", "hall-b"), 1)]
    doors = {}
    for number, hall in enumerate(HALLS, 1):
        doors[number] = standins.Door(site.ip(200 + number), store)
        site.start(f"front-{number}", number, hall, store=doors[number].text)
    for number in doors:
        site.wait_ready(f"front-{number}")
    time.sleep(CONTACT_S + 1.0)
    balancer = Balancer(site)
    balancer.start()
    requesters = [Requester(number, site, balancer, record) for number in range(REQUESTERS)]
    for requester in requesters:
        requester.start()
    time.sleep(5)
    if trouble:
        for number in TURNED_AWAY:
            doors[number].is_shut = True
        record(f"the store is silent to front-{sorted(TURNED_AWAY)}, and serves the others")
    time.sleep(1)
    store.put("config", "main", standins.config(9, [standins.route("/kept/", "safe")]))
    fault = time.monotonic()
    record("version 9 acknowledged; final fault: all processes are killed")
    for number in doors:
        site.signal(f"front-{number}", signal.SIGKILL)
    for number in doors:
        site.processes[f"front-{number}"].wait()
    asked = {number: len(doors[number].asked) for number in SERVED_BY_STORE}
    time.sleep(1)
    for number, hall in enumerate(HALLS, 1):
        site.start(f"front-{number}", number, hall, store=doors[number].text)
    up = time.monotonic()
    record("all processes are started again")
    time.sleep(RECOVER_S + MEASURED_S)
    for requester in requesters:
        requester.stop = True
    for requester in requesters:
        requester.join(6)
    for number in sorted(SERVED_BY_STORE):
        calls = doors[number].asked[asked[number]:]
        record(f"front-{number}, which the store serves, has sent it {len(calls)} calls since: {calls[:4]}")
    results = [result for requester in requesters for result in requester.results]
    before = [status for sent, status in results if sent < fault]
    after = [status for sent, status in results if sent > up + RECOVER_S]
    record(f"before the final fault {before.count('200')} of {len(before)} requests were served")
    record(f"RECOVER: of those sent later than {RECOVER_S} s after the machines were back, "
           f"{after.count('200')} of {len(after)} were served, with {len(servers)} sound servers")
    if before.count("200") * 4 < len(before) or not after:
        raise standins.CannotRun("too little was served before the final fault")
    return after.count("200") * 4 < len(after)


standins.main(os.path.dirname(os.path.abspath(__file__)), case)
