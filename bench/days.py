#!/usr/bin/env python3
"""Writes days of our own for the users' bench: one for each kind of trouble.

Usage: days.py OUT_FOLDER

Each day has its trouble twice, under a flood by some customers, and ends with
one of the closing faults. They are played with `fleetbench run SITE FILE`.
"""

import pathlib
import sys

FAULTS = [
    ("burst", {"x": 1.7}, [""]),
    ("hot_key", {"share": 0.3, "class": None}, [""]),
    ("retry_abuse", {"share": 0.3, "x": 3.0}, [""]),
    ("give_up", {"share": 0.3}, [""]),
    ("srv_crash", {"share": 0.2}, ["", "dark", "gone", "domain"]),
    ("srv_grey", {"share": 0.2, "x": 0.45},
     ["errors", "shed", "busy", "hang", "reset", "mute", "slow", "errors all", "errors one_zone"]),
    ("answer_lost", {"share": 0.5, "x": 0.05}, ["", "reset"]),
    ("garble", {"share": 0.5, "x": 0.03}, ["", "extra", "extra late", "unframed", "early"]),
    ("node_kill", {"share": 0.2}, ["", "power"]),
    ("node_kill", {"on": "core", "count": 1},
     ["", "leader", "power leader", "leader race drain", "meet drain", "leader race hard"]),
    ("node_freeze", {"share": 0.2}, [""]),
    ("node_freeze", {"on": "core", "count": 1}, ["", "leader", "leader race"]),
    ("herd_kill", {"share": 0.6}, ["", "power"]),
    ("herd_kill", {"on": "core"}, ["", "off"]),
    ("after_ack_kill", {}, ["", "kill", "timed"]),
    ("after_ack_wipe", {}, ["", "oldest"]),
    ("disk_full", {"count": 1}, ["", "leader"]),
    ("disk_stall", {"count": 1}, ["", "leader"]),
    ("disk_slow", {"count": 1, "x": 30}, ["", "leader"]),
    ("clock_step", {"share": 0.4, "x": 3000}, ["", "back", "ahead"]),
    ("zone_cut", {}, ["", "refuse", "reset", "drop"]),
    ("core_cut", {"count": 1},
     ["", "leader", "split", "all", "near", "oldest", "one_way", "seeds", "both", "lure", "relieve",
      "behind", "leader race"]),
    ("node_cut", {"share": 0.3}, ["", "all", "servers"]),
    ("lossy", {"x": 0.04}, [""]),
    ("ack_lost", {"x": 0.7}, [""]),
    ("node_slow", {"share": 0.2, "x": 5}, [""]),
    ("reset_conns", {"share": 0.3, "x": 0.5}, [""]),
    ("srv_slow", {"share": 0.2, "x": 4}, [""]),
    ("srv_cut", {"share": 0.3}, ["", "fronts", "some", "one_way", "reset"]),
    ("replace_with_reuse", {"share": 0.2}, ["", "drain", "dark"]),
    ("replace_core", {"x": 1}, ["", "oldest", "planned"]),
    ("seed_turnover", {}, [""]),
]
PLANS = [
    ("release", {"share": 0.6, "x": 1, "gap_s": 1.0}, [""]),
    ("scale_in", {"share": 0.2}, ["", "spot"]),
    ("scale_out", {"share": 0.4, "gap_s": 1.0}, [""]),
    ("roll_term", {"share": 0.5, "x": 1, "gap_s": 1.2}, ["", "busy", "remove"]),
    ("roll_term", {"on": "core", "share": 1.0, "x": 1, "gap_s": 4.0}, [""]),
    ("hup", {"share": 0.6, "gap_s": 2.0}, [""]),
    ("config_change", {}, ["route", "weights", "timeout", "tenant", "quota", "idle"]),
    ("config_storm", {"count": 10, "gap_s": 0.3}, [""]),
    ("config_race", {"count": 3, "gap_s": 1.0}, [""]),
    ("bad_config", {"count": 3, "gap_s": 0.7},
     ["cut_short", "unknown_service", "same_place", "no_weight", "no_timeout", "old_version",
      "same_version", "shared_key"]),
    ("big_config", {}, [""]),
    ("revoke", {"count": 2, "gap_s": 1.5}, ["", "last"]),
]
CLOSINGS = [
    'closing = { kind = "power_off_all", down_s = 1.3 }',
    'closing = { kind = "kill_all", down_s = 1.3 }',
    'closing = { kind = "wipe_after_ack", down_s = 1.3 }',
    'closing = { kind = "wipe_after_ack", down_s = 1.3, how = "timed" }',
]


def entry(kind, fields, how, at, for_s):
    parts = [f"at = {at}", f'kind = "{kind}"']
    if for_s:
        parts.append(f"for_s = {for_s}")
    for name, value in fields.items():
        if value is not None:
            parts.append(f'{name} = "{value}"' if isinstance(value, str) else f"{name} = {value}")
    parts.append(f'how = "{how}"')
    return "{ " + ", ".join(parts) + " }"


def main(out):
    out = pathlib.Path(out)
    out.mkdir(parents=True, exist_ok=True)
    seed = 1
    for where, kinds, for_s in (("faults", FAULTS, 4.0), ("plan", PLANS, 0)):
        for kind, fields, hows in kinds:
            for how in hows:
                seed += 1
                on = "-core" if fields.get("on") == "core" else ""
                name = f"{kind}{on}-{how}".strip("-").replace(" ", "-")
                twice = [entry(kind, fields, how, at, for_s) for at in (4.0, 17.0)]
                flood = '{ at = 2.0, kind = "hot_tenant", for_s = 12.0, x = 6.0, count = 3 }'
                changes = [
                    f'{{ at = {at}, kind = "config_change", how = "idle" }}' for at in (6.5, 19.5)
                ]
                faults = [flood] + (twice if where == "faults" else [])
                plan = changes + (twice if where == "plan" else [])
                text = "\n".join([
                    "[[day]]", f'name = "{name}"', 'slot = "trouble"', f"seed = {seed * 7919}",
                    CLOSINGS[seed % len(CLOSINGS)], "length_s = 34.0", "one = 1.0", "zero = 0.0",
                    "goal = { floor = 0.1 }", "labels = []",
                    "plan = [" + ", ".join(plan) + "]", "faults = [" + ", ".join(faults) + "]", "",
                ])
                (out / f"{name}.toml").write_text(text)


if __name__ == "__main__":
    main(sys.argv[1])
