#!/usr/bin/env python3
"""Writes days (fault scenarios) for the users' bench, one for each kind of fault.

Usage: days.py OUT_FOLDER

On each day the fault occurs twice while some customers flood the fleet, and the day
ends with one of the closing faults. On days named `series-...` the same fault occurs
two to six times while the configuration changes every 0.4 s
(docs/incidents/tiket-ferry-2.md). Run a day with `fleetbench run SITE FILE`.
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
# The faults of each series, with the times at which they start and their duration, in seconds.
CORE = {"on": "core"}
SERIES = {
    "control-killed": [("herd_kill", CORE, "", (5.1, 12.3, 19.2, 26.4, 33.7), 0)],
    "control-off": [("herd_kill", CORE, "off", (5.1, 14.3, 23.2), 2.0)],
    "control-lost-after-work": [("herd_kill", CORE, "taken", (5.1, 14.3, 23.2), 1.0)],
    "all-lost-after-work": [("herd_kill", CORE, "taken all", (5.1, 14.3, 23.2), 1.0)],
    "leader-off": [
        ("node_kill", {"on": "core", "count": 1}, "power leader", (5.1, 12.3, 19.2, 26.4), 2.0)
    ],
    "control-one-by-one": [
        ("node_kill", {"on": "core", "count": 1}, "", (5.1, 6.3, 7.5, 14.1, 15.3, 16.5), 0)
    ],
    "control-killed-in-a-cut": [
        ("zone_cut", {}, "", (5.1, 14.3, 23.2), 3.0),
        ("herd_kill", CORE, "", (6.1, 15.3, 24.2), 0),
    ],
    "control-killed-under-loss": [
        ("herd_kill", CORE, "", (5.1, 12.3, 19.2, 26.4), 0),
        ("lossy", {"x": 0.2}, "", (5.2, 12.4, 19.3, 26.5), 2.0),
    ],
    "control-killed-under-resets": [
        ("reset_conns", {"share": 0.5, "x": 0.8}, "", (5.1, 14.3, 23.2), 2.0),
        ("herd_kill", CORE, "", (6.1, 15.3, 24.2), 0),
    ],
    "control-killed-clocks-back": [
        ("clock_step", {"share": 1.0, "x": 3000}, "back", (5.1, 14.3, 23.2), 6.0),
        ("herd_kill", CORE, "", (7.1, 16.3, 25.2), 0),
    ],
    "routers-frozen": [
        ("node_freeze", {"share": 0.3}, "", (5.1, 14.3, 23.2), 3.0),
        ("herd_kill", CORE, "", (6.1, 15.3, 24.2), 0),
    ],
    "everybody-killed": [
        ("herd_kill", {"share": 0.8}, "", (5.1, 14.3, 23.2), 0),
        ("herd_kill", CORE, "", (6.1, 15.3, 24.2), 0),
    ],
    "control-cut": [("core_cut", {"count": 1}, "all", (5.1, 14.3, 23.2), 4.0)],
    "control-split": [("core_cut", {"count": 1}, "split", (5.1, 14.3, 23.2), 3.0)],
    "control-one-way": [("core_cut", {"count": 1}, "one_way", (5.1, 14.3, 23.2), 4.0)],
    "routers-cut": [("node_cut", {"share": 0.4}, "", (5.1, 14.3, 23.2), 4.0)],
    "disks-lost": [("after_ack_wipe", {"count": 1}, "", (5.1, 14.3, 23.2), 4.0)],
    "control-replaced": [("replace_core", {"x": 1}, "", (5.1, 18.3), 0)],
}
SERIES_LENGTH_S = 40.0
SERIES_CHANGES = ["route", "timeout", "tenant", "idle", "weights"]
SERIES_SEEDS = (11, 21, 22)
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


def day(name, seed, length_s, plan, faults):
    return "\n".join([
        "[[day]]", f'name = "{name}"', 'slot = "trouble"', f"seed = {seed * 7919}",
        CLOSINGS[seed % len(CLOSINGS)], f"length_s = {length_s}", "one = 1.0", "zero = 0.0",
        "goal = { floor = 0.1 }", "labels = []",
        "plan = [" + ", ".join(plan) + "]", "faults = [" + ", ".join(faults) + "]", "",
    ])


def write_series(out):
    moments = [1.2 + 0.4 * n for n in range(int((SERIES_LENGTH_S - 4.0) / 0.4))]
    changes = [
        entry("config_change", {}, SERIES_CHANGES[n % len(SERIES_CHANGES)], round(at, 1), 0)
        for n, at in enumerate(moments)
    ]
    for name, troubles in SERIES.items():
        faults = [
            entry(kind, fields, how, at, for_s)
            for kind, fields, how, times, for_s in troubles
            for at in times
        ]
        for seed in SERIES_SEEDS:
            label = f"series-{name}-{seed}"
            text = day(label, seed, SERIES_LENGTH_S, changes, faults)
            (out / f"{label}.toml").write_text(text)


def main(out):
    out = pathlib.Path(out)
    out.mkdir(parents=True, exist_ok=True)
    write_series(out)
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
                text = day(name, seed, 34.0, plan, faults)
                (out / f"{name}.toml").write_text(text)


if __name__ == "__main__":
    main(sys.argv[1])
