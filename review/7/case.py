"""One of nine feed servers hangs while an archive sends messages of 1 MB: does the node go on?"""

import os
import socket
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins-2"))
from standins import (ATTACH, DISPOSITION, FLOW, AmqpClient, AmqpServer, CannotRun, Discovery, Node, accepted,
                      message, parse_message, profile, run_case, settings, wait_for)

SERVERS = 9
HANG_S = 6.2
WATCHED_S = 27.0
LONG = 1_000_000
PER_S = 30


def answers_ping(port):
    try:
        with socket.create_connection(("127.0.0.1", port), 1) as sock:
            sock.settimeout(1)
            sock.sendall(b"PING\r\n")
            return sock.recv(64) == b"PONG\r\n"
    except OSError:
        return False


def body(case):
    record = case.record
    discovery = Discovery(record)
    ran = []

    def on_delivery(link, delivery_id, payload):
        ran.append((link.connection.server.name, parse_message(payload)[1][:12].decode().strip()))
        link.settle(delivery_id, accepted())

    # These servers take one link on a connection, so that the node has a connection for each class. One server is in
    # the node's hall, four are in each of the two others.
    servers = [AmqpServer(case, f"s{number}", on_delivery, limits=(0, 0), receive_buffer=8192)
               for number in range(1, SERVERS + 1)]
    for server, hall in zip(servers, "abbbbcccc"):
        discovery.add(server.name, server.port, zone=f"hall-{hall}")
    classes = [profile("live-readings"), profile("series-replay")]
    node = Node(case, "node", discovery.port, settings(classes, connections=600.0), discovery.document(), amqp={})
    node.wait_ready()

    client = AmqpClient(node.amqp_port, "archive-1")
    for handle, name in enumerate(["live-readings", "series-replay"]):
        client.attach_sender(name, name, handle=handle)
        client.expect(ATTACH)
        client.expect(FLOW)
    answered, sent = set(), []

    def read():
        try:
            while True:
                try:
                    frame = client.receive(1)
                except TimeoutError:
                    client.heartbeat()
                    continue
                if frame.code == DISPOSITION:
                    answered.update(range(frame.get(1), frame.get(2, frame.get(1)) + 1))
        except OSError as error:
            record(f"archive-1: {error}")

    def send(name, handle, size, group):
        text = b"%-12s" % name.encode() + b"x" * size
        sent.append(client.transfer(name.encode(), message(text, group=group), handle=handle))

    def send_all(group):
        """A short reading and a message of 1 MB of the same station set, and so again, no more than 40 without an
        answer."""
        try:
            for number in range(20 * PER_S):
                while len(sent) - len(answered) > 40:
                    time.sleep(0.01)
                send(f"live-{number}", 0, 100, group)
                send(f"replay-{number}", 1, LONG, group)
                time.sleep(1 / PER_S)
        except OSError as error:
            record(f"archive-1: {error}")

    threading.Thread(target=read, daemon=True).start()
    # A station set whose messages go to s1, the server of the node's hall.
    for number in range(60):
        send(f"first-{number}", number % 2, 100, f"set-{number // 2}")
        wait_for("an answer", lambda: len(answered) == len(sent), 3)
    groups = [f"set-{number // 2}" for number in range(0, 60, 2)
              if {("s1", f"first-{number}"), ("s1", f"first-{number + 1}")} <= set(ran)]
    if not groups:
        raise CannotRun("no station set is placed at s1")
    record(f"{len(ran)} first deliveries answered; archive-1 sends messages of {groups[0]}, which are placed at s1")
    threading.Thread(target=send_all, args=(groups[0],), daemon=True).start()
    time.sleep(2.0)
    links = sum(len(server.connections) for server in servers)
    record(f"{len(sent)} deliveries sent, {len(answered)} answered, {links} connections to {SERVERS} servers")
    if case.trouble:
        servers[0].running.clear()
        record(f"s1 hangs for {HANG_S} s: it takes requests and answers none")
    begun = time.monotonic()
    silent_since, longest = time.monotonic(), 0.0
    while time.monotonic() < begun + WATCHED_S:
        if time.monotonic() > begun + HANG_S and not servers[0].running.is_set():
            servers[0].running.set()
            record("s1 goes on")
        if answers_ping(node.listen):
            silent_since = time.monotonic()
        gap = time.monotonic() - silent_since
        if int(gap) > int(longest):
            with open(f"/proc/{node.process.pid}/stat") as file:
                ticks = int(file.read().split()[13])
            record(f"no PONG for {gap:.1f} s; processor time of the node {ticks / os.sysconf('SC_CLK_TCK'):.1f} s")
        longest = max(longest, gap)
        time.sleep(0.2)
    record(f"{len(sent)} deliveries sent, {len(answered)} answered; longest time without a PONG {longest:.1f} s")
    for server in servers:
        record(f"{server.name} ran {sum(name == server.name for name, _ in ran)}")
    if longest > 20:
        return [f"the node answers nobody for {longest:.1f} s and uses the processor all that time; "
                f"{len(sent) - len(answered)} deliveries have no answer"]
    return []


run_case(os.path.dirname(os.path.abspath(__file__)), body)
