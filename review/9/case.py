"""A planned restart: do AMQP clients get the answers of the deliveries that the node has taken?"""

import collections
import os
import signal
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins-2"))
from standins import (ATTACH, CLOSE, DETACH, DISPOSITION, FLOW, AmqpClient, AmqpServer, CannotRun, Discovery, Node,
                      accepted, message, parse_message, profile, run_case, settings)

SERVERS = 4
CLIENTS = 20
OUTSTANDING = 60
ANSWER_S = 0.4
# How long a frame takes from a client to the node and back: the sites have up to 1.1 ms one way.
ROUND_TRIP_S = 0.002
# The longest deadline counts as 3 s where it is longer; SIGKILL comes no sooner than 0.7 s after that time.
DEADLINE_S = 3.0
KILL_S = DEADLINE_S + 0.7


class Archive:
    """A client that sends deliveries as far as its credit goes, no more than OUTSTANDING without an answer."""

    def __init__(self, case, node, number):
        self.case, self.name = case, f"archive-{number}"
        self.client = AmqpClient(node.amqp_port, self.name)
        self.client.attach_sender("items", "item-watch")
        self.client.expect(ATTACH)
        self.sent, self.answered, self.allowed = {}, {}, 0
        self.end, self.stop = None, False
        self.on_flow(self.client.expect(FLOW))
        threading.Thread(target=self.read, daemon=True).start()
        threading.Thread(target=self.send, daemon=True).start()

    def on_flow(self, frame):
        if frame.get(4) is not None:
            self.allowed = frame.get(5, 0) + frame.get(6, 0)

    def send(self):
        try:
            while not self.stop and self.end is None:
                number = self.client.next_delivery
                if number < self.allowed and len(self.sent) - len(self.answered) < OUTSTANDING:
                    name = f"{self.name}/{number}"
                    self.sent[name] = time.monotonic()
                    self.client.transfer(b"%d" % number, message(name.encode()))
                time.sleep(0.008)
        except OSError as error:
            self.end = self.end or str(error)

    def read(self):
        try:
            while True:
                try:
                    frame = self.client.receive(1)
                except TimeoutError:
                    self.client.heartbeat()
                    continue
                if frame.code == FLOW:
                    time.sleep(ROUND_TRIP_S)
                    self.on_flow(frame)
                elif frame.code == DISPOSITION:
                    for number in range(frame.get(1), frame.get(2, frame.get(1)) + 1):
                        self.answered[f"{self.name}/{number}"] = frame.get(4)
                elif frame.code in (DETACH, CLOSE) and self.end is None:
                    self.end = repr(frame)
                    self.case.record(f"{self.name}: got {frame}, {len(self.sent) - len(self.answered)} deliveries "
                                     "have no answer")
        except OSError as error:
            self.end = self.end or str(error)


def body(case):
    record = case.record
    discovery = Discovery(record)
    accepted_by_servers, due = {}, collections.deque()

    def on_delivery(link, delivery_id, payload):
        due.append((time.monotonic() + ANSWER_S, link, delivery_id, parse_message(payload)[1].decode()))

    def settle():
        while True:
            if not due or due[0][0] > time.monotonic():
                time.sleep(0.001)
                continue
            _, link, delivery_id, name = due.popleft()
            try:
                link.settle(delivery_id, accepted())
                accepted_by_servers[name] = link.connection.server.name
            except OSError as error:
                record(f"{link.connection.server.name}: {name}: {error}")

    threading.Thread(target=settle, daemon=True).start()

    for number in range(1, SERVERS + 1):
        server = AmqpServer(case, f"s{number}", on_delivery)
        discovery.add(server.name, server.port)
    classes = [profile("item-watch", deadline_ms=3000)]
    node = Node(case, "node", discovery.port, settings(classes), discovery.document(), amqp={})
    node.wait_ready()
    archives = [Archive(case, node, number) for number in range(CLIENTS)]
    time.sleep(2.0)
    record(f"{sum(len(a.sent) for a in archives)} deliveries sent, {sum(len(a.answered) for a in archives)} answered")
    begun = time.monotonic()
    if case.trouble:
        record("planned restart: SIGTERM")
        node.signal(signal.SIGTERM)
        while node.process.poll() is None and time.monotonic() < begun + KILL_S:
            time.sleep(0.005)
        if node.process.poll() is None:
            node.process.kill()
            raise CannotRun("the node has not ended by itself")
        record(f"the node has ended by itself {time.monotonic() - begun:.2f} s after SIGTERM")
    else:
        time.sleep(KILL_S)
        for archive in archives:
            archive.stop = True
        time.sleep(DEADLINE_S + 0.5)
    time.sleep(0.3)
    unanswered = [name for archive in archives for name in archive.sent if name not in archive.answered]
    run = [name for name in unanswered if name in accepted_by_servers]
    record(f"{sum(len(a.sent) for a in archives)} deliveries sent, {len(accepted_by_servers)} accepted by servers, "
           f"{sum(len(a.answered) for a in archives)} answered")
    for archive in archives:
        for name in [name for name in run if name in archive.sent][:5]:
            record(f"{name}: sent {archive.sent[name] - begun:+.3f} s after SIGTERM, accepted by "
                   f"{accepted_by_servers[name]}, no answer; the link has ended with {archive.end}")
    if run:
        before = [name for archive in archives for name in run if archive.sent.get(name, begun) < begun]
        return [f"{len(run)} deliveries that the node had taken, and servers have accepted, have no answer; {len(before)} "
                "of them were sent before SIGTERM"]
    return []


run_case(os.path.dirname(os.path.abspath(__file__)), body)
