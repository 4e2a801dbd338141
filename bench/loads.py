#!/usr/bin/env python3
"""Writes the load files of the bench: bench/loads.py FOLDER BASE_PORT.

The sample sites have 9 routers and 10 engines of 16 slots that generate a token in
5 ms. A chat of the mix below occupies a slot for about half a second, so the capacity
is 330 chats a second; overload-F sends F times as many.
"""
import sys
from pathlib import Path

folder, base = Path(sys.argv[1]), int(sys.argv[2])
CAPACITY = 330.0
CHAT = "prompt: {median: 60, sigma: 0.5, max: 300}, output: {median: 80, sigma: 0.6, max: 400}"
MANIFEST = "prompt: {median: 3000, sigma: 0.5, max: 8000}, output: {median: 200, sigma: 0.8, max: 1000}"


def ports(first, count):
    return "[" + ", ".join(f'"127.0.0.1:{base + first + n}"' for n in range(count)) + "]"


def write(name, seconds, warmup, customers):
    lines = [
        f"name: {name}",
        f"routers: {ports(100, 9)}",
        f"endpoints: {ports(600, 10)}",
        f"ledgers: {ports(700, 3)}",
        f"duration_s: {seconds}",
        f"warmup_s: {warmup}",
        "seed: 7",
        "customers:",
    ]
    lines += ["  - {" + c + "}" for c in customers]
    folder.mkdir(parents=True, exist_ok=True)
    (folder / f"{name}.yaml").write_text("\n".join(lines) + "\n")


def model(name, share, routers, arrival, lengths, more="", service="asisten-llm"):
    return (
        f"name: {name}, share: {share}, service: {service}, routers: {routers}, "
        f"arrival: {{{arrival}}}, {lengths}{more}"
    )


TICKETS = (
    "name: harbourmaster, share: 1, service: tiket-app, path: /holds/seat, "
    "arrival: {open: 40.0}, keyed: true, resend: 0.1"
)

write("perak-morning", 25, 5, [
    model("harbour-agents", 4, [0], "closed: 96", MANIFEST, ", shared_prefix: 1024"),
    model("passenger-chat", 4, [], "closed: 160", CHAT),
    model("madura-commuters", 2, [1], "closed: 64", CHAT),
    model("market-traders", 2, [2], "closed: 64", CHAT),
    model("truck-drivers", 2, [], "closed: 64", MANIFEST),
    model("kalianget-line", 1, [3], "closed: 48", CHAT),
    model("bawean-line", 1, [4, 5], "closed: 48", MANIFEST),
    model("school-groups", 1, [], "closed: 48", CHAT),
    model("pilgrim-groups", 1, [], "open: 1.0", CHAT),
    TICKETS,
])

for factor in (1.2, 2, 5, 10):
    rate = round(CAPACITY * factor / 4, 1)
    write(f"overload-{factor}", 30, 10, [
        model("harbour-agents", 4, [0], f"open: {rate}", CHAT),
        model("passenger-chat", 4, [], f"open: {rate}", CHAT),
        model("market-traders", 2, [1, 2], f"open: {rate}", CHAT),
        model("school-groups", 1, [], f"open: {rate}", CHAT),
    ])

write("bangkok-flood", 30, 5, [
    model("booking-summaries", 4, [], "open: 1000.0", CHAT, service="lm-pool"),
    model("hospital-clerks", 2, [3], "open: 1.0", CHAT, service="lm-pool"),
])

# For bench/streams.sh: one stream for each caller, all through one router.
write("streams", 40, 25, [
    model("passenger-chat", 4, [0], "closed: 9000",
          "prompt: {median: 60}, output: {median: 400}"),
])
# One caller, through a router; `straight` below sends to an engine directly.
write("one-caller", 20, 2, [
    model("passenger-chat", 4, [0], "closed: 1", "prompt: {median: 60}, output: {median: 8}"),
])
write("plain-flood", 20, 5, [
    "name: harbour-agents, share: 4, service: tiket-app, path: /fares, routers: [0], arrival: {closed: 64}",
])
write("claims", 15, 5, [
    "name: harbourmaster, share: 1, service: tiket-app, path: /holds/seat, arrival: {closed: 48}, keyed: true",
])
straight = (folder / "one-caller.yaml").read_text().replace("one-caller", "straight")
straight = straight.replace(f"routers: {ports(100, 9)}", f"routers: {ports(600, 1)}\ndirect: true")
(folder / "straight.yaml").write_text(straight)

write("tickets", 40, 2, [TICKETS.replace("open: 40.0", "open: 150.0").replace("resend: 0.1", "resend: 0.3")])
