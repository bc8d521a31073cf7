"""One of five feed servers falls silent for 1.3 s under messages that must not run twice: what runs twice?"""

import collections
import os
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins-2"))
from standins import (ATTACH, DISPOSITION, FLOW, AmqpClient, AmqpServer, CannotRun, Discovery, Node, accepted,
                      message, parse_message, profile, run_case, settings, wait_for)

SILENT_S = 1.3
SERVER_IDLE_MS = 700
ORDERS = 60
SIZE = 40_000


def body(case):
    record = case.record
    discovery = Discovery(record)
    ran = collections.defaultdict(list)

    def on_delivery(link, delivery_id, payload):
        name = parse_message(payload)[1][:12].decode().strip()
        ran[name].append(link.connection.server.name)
        record(f"{link.connection.server.name}: ran {name}")
        link.settle(delivery_id, accepted())

    # One server is in the node's hall, two are in each of the two others.
    servers = [AmqpServer(case, f"s{number}", on_delivery, beat_ms=200, max_segment=1460, receive_buffer=8192)
               for number in range(1, 6)]
    for server, hall in zip(servers, "abbcc"):
        discovery.add(server.name, server.port, zone=f"hall-{hall}")
    classes = [profile("orders", effect="non_idempotent", deadline_ms=3200)]
    node = Node(case, "node", discovery.port, settings(classes, connections=600.0), discovery.document(),
                amqp={"server_idle_ms": SERVER_IDLE_MS})
    node.wait_ready()

    client = AmqpClient(node.amqp_port, "archive-1")
    client.attach_sender("orders", "orders")
    client.expect(ATTACH)
    client.expect(FLOW)
    answers, names = {}, {}

    def read():
        try:
            while True:
                try:
                    frame = client.receive(1)
                except TimeoutError:
                    client.heartbeat()
                    continue
                if frame.code == DISPOSITION:
                    for number in range(frame.get(1), frame.get(2, frame.get(1)) + 1):
                        answers[number] = frame.get(4)
                        record(f"archive-1: {names.get(number)} is answered {frame.get(4)}")
        except OSError as error:
            record(f"archive-1: {error}")

    def send(name, size, group):
        names[client.next_delivery] = name
        text = b"%-12s" % name.encode() + b"x" * size
        client.transfer(name.encode(), message(text, group=group))

    threading.Thread(target=read, daemon=True).start()
    for number in range(30):
        send(f"first-{number}", 100, f"set-{number}")
        wait_for("an answer", lambda: len(answers) == len(names), 3)
    groups = [f"set-{number}" for number in range(30) if ran[f"first-{number}"] == ["s1"]]
    if not groups:
        raise CannotRun("no group is placed at s1")
    send("last-first", 100, groups[0])
    wait_for("an answer", lambda: len(answers) == len(names), 3)
    if ran["last-first"] != ["s1"]:
        raise CannotRun("the group is not placed at s1")
    begun = time.monotonic()
    if case.trouble:
        servers[0].running.clear()
        record(f"s1 falls silent for {SILENT_S} s, its connections stay open")
    for number in range(ORDERS):
        send(f"order-{number}", SIZE, groups[0])
    record(f"archive-1: sent {ORDERS} orders")
    time.sleep(max(0.0, begun + SILENT_S - time.monotonic()))
    if case.trouble:
        record("s1 goes on")
        servers[0].running.set()
    time.sleep(4.0)
    orders = {name: places for name, places in ran.items() if name.startswith("order-")}
    record(f"{len(orders)} of {ORDERS} orders ran, {len(answers)} of {len(names)} deliveries are answered")
    return [f"{name} ran {len(places)} times, at {' and '.join(places)}"
            for name, places in orders.items() if len(places) > 1]


run_case(os.path.dirname(os.path.abspath(__file__)), body)
