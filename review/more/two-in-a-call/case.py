"""Three of ten nodes are cut off, the broker is held up for 0.14 s, and a call carries one part twice."""

import asyncio
import signal
import socket
from pathlib import Path

import lab as laboratory

HERE = Path(__file__).resolve().parent
NODES, CUT = 10, 3  # "without zones, three in ten nodes"
WORKS = (0.173, 0.175, 0.177)  # seconds that a part takes; nodes differ a little
REPORT = "queue=2,util=0.40"  # what nodes report of their load
REMAINING = 2.5  # seconds that a client waits
WARM, AGAIN, ROUNDS = 12.0, 6.0, 4  # seconds of quiet before the first round and between two
HOLD_AT, HOLD = 0.60, 0.14  # seconds after the requests; "held up for up to 0.15 s"


class Node(laboratory.Node):
    """A sound node that can be cut off: its connections fall silent, and new ones never come up."""

    def __init__(self, lab, name, cell):
        super().__init__(lab, name, cell, WORKS[cell % len(WORKS)])
        self.script = self.answer
        self.fillers, self.writers = [], set()

    def answer(self, run):
        """The usual answer, with the node's report; none where it is cut off."""
        if self.hung:
            return None
        value = laboratory.value_of(run.part)
        return [(self.work, laboratory.frame_of(f"Y{run.part} OK 7 {REPORT}\n{value}".encode()))]

    async def start(self):
        """Listen with a queue of the least length."""
        self.sock = socket.socket()
        self.sock.bind((laboratory.HOST, 0))
        self.sock.listen(1)
        self.sock.setblocking(False)
        self.port = self.sock.getsockname()[1]
        self.accepting = asyncio.create_task(self.accept())

    async def accept(self):
        """Accept connections until the task is cancelled."""
        while True:
            sock, _ = await asyncio.get_running_loop().sock_accept(self.sock)
            task = asyncio.create_task(self.serve_socket(sock))
            self.lab.tasks.add(task)
            task.add_done_callback(self.lab.tasks.discard)

    async def serve_socket(self, sock):
        """Serve one connection."""
        try:
            reader, writer = await asyncio.open_connection(sock=sock)
        except OSError:
            return
        self.writers.add(writer)
        await self._serve(reader, writer)
        self.writers.discard(writer)

    def cut_off(self):
        """Nothing more comes or goes, and nobody is told."""
        self.lab.record(self.name, "is cut off")
        self.accepting.cancel()
        self.hung = True
        for _ in range(4):  # the queue is full: whoever connects hears nothing
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex((laboratory.HOST, self.port))
            self.fillers.append(filler)

    def come_back(self):
        """It can be reached again; open connections are reset."""
        self.lab.record(self.name, "is back")
        for filler in self.fillers:
            filler.close()
        self.fillers.clear()
        for writer in list(self.writers):
            writer.transport.abort()
        self.hung = False
        self.accepting = asyncio.create_task(self.accept())


class Clients:
    """Usual clients, one for each shard, and the broker that they ask."""

    def __init__(self, lab, broker):
        self.lab, self.broker = lab, broker
        self.clients = [laboratory.Client(lab, broker.port) for _ in lab.nodes]

    @property
    def has_ended(self):
        """Whether the broker's process has ended."""
        return self.broker.process.poll() is not None

    async def ask(self, cell):
        """One request of the partial class for one shard."""
        await self.clients[cell].ask("statement", REMAINING, [cell])

    async def ask_on(self, cell, seconds):
        """One request after the other."""
        end = self.lab.record.now() + seconds
        while self.lab.record.now() < end and not self.has_ended:
            await self.ask(cell)

    async def ask_all(self, seconds):
        """Ask for all shards."""
        await asyncio.gather(*(self.ask_on(cell, seconds) for cell in range(NODES)))

    async def play_round(self, cells):
        """Ask for these shards while their nodes are cut off and the broker is held up once."""
        nodes = [self.lab.nodes[cell] for cell in cells] if self.lab.trouble else []
        for node in nodes:
            node.cut_off()
        asked = [asyncio.create_task(self.ask(cell)) for cell in cells]
        await asyncio.sleep(HOLD_AT)
        if self.lab.trouble and HOLD and not self.has_ended:
            self.broker.process.send_signal(signal.SIGSTOP)
            self.lab.record("the broker is held up")
            await asyncio.sleep(HOLD)
            self.broker.process.send_signal(signal.SIGCONT)
            self.lab.record("the broker goes on")
        await asyncio.gather(*asked)
        for node in nodes:
            node.come_back()


async def case(lab):
    """Returns whether the broker's process went on until the end."""
    lab.nodes = [Node(lab, f"s-{cell:04x}", cell) for cell in range(NODES)]
    for node in lab.nodes:
        await node.start()
    discovery = laboratory.Discovery(lab, lab.nodes)
    await discovery.start()
    settings = laboratory.settings()
    settings["family-info"].update({"cells": NODES, "ranges": NODES, "span": 1})
    broker = lab.make_broker(discovery.port, discovery.snapshot(), settings=settings)
    await broker.start()
    clients, rounds = Clients(lab, broker), 0
    await clients.ask_all(WARM)
    while rounds < ROUNDS and not clients.has_ended:
        await clients.play_round([(rounds * CUT + each) % NODES for each in range(CUT)])
        rounds += 1
        await clients.ask_all(AGAIN)
    code = broker.process.poll()
    end = "still runs" if code is None else f"ended by itself with exit code {code}"
    lab.record.say(f"the broker's process {end}, after {rounds} rounds")
    return code is None


laboratory.main(HERE, case)
