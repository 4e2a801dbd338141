#!/usr/bin/env python3
"""Mutation tests: breaks one guarantee at a time in a copy of the code and checks that
the test named for it fails: bench/variants.py SCRATCH_FOLDER [NAME...]

The copy is in SCRATCH_FOLDER. A variant that no test detects is printed as MISSED
and makes the run fail; docs/PROOFS.md lists the variants.
"""
import os
import shutil
import subprocess
import sys
from pathlib import Path

LIB = ["--lib"]


def scenario(name):
    return ["--test", "scenarios", "--", "--name", name]


# name, file, text to replace, replacement, test arguments, environment
VARIANTS = [
    ("idle customers keep credit", "src/dispatch/account.rs",
     "let floor = if raise_to_floor { self.floor() } else { 0 };", "let floor = if raise_to_floor { 0 } else { 0 };",
     LIB + ["idle_time_earns_no_credit"], {}),
    ("costs are not settled", "src/dispatch/dispatcher/service.rs",
     "        self.settle(&granted, units);\n", "",
     LIB + ["a_cost_known_only_at_the_end_is_settled"], {}),
    ("no wait when taking over", "src/dispatch/dispatcher/session.rs",
     "if takeover && self.sessions.is_empty() {", "if takeover && false {",
     LIB + ["a_dispatcher_that_takes_over_waits"], {}),
    ("a thawed dispatcher goes on", "src/dispatch/dispatcher/session.rs",
     "if stalled_ms < STALL_RESET_MS || self.sessions.is_empty() {", "if true {",
     LIB + ["a_stalled_dispatcher_drops_its_state"], {}),
    ("slots of a new session's old grants leak", "src/dispatch/dispatcher/session.rs",
     "        self.drop_grants_of(router);\n        self.accounts.drop_router(router);\n        let joined",
     "        self.accounts.drop_router(router);\n        let joined",
     LIB + ["every_request_ends_and_no_slot_leaks"], {}),
    ("first come, first served", "src/dispatch/dispatcher/service.rs",
     "        let more = self.virtual_units(customer, units);",
     "        let more = self.virtual_units(customer, units) * 0;",
     LIB + ["the_gap_is_bounded_again_after_faults"], {}),
    ("votes for shorter logs", "src/agree/replica/election.rs",
     "let is_up_to_date = last >= (self.log.last_term(), self.log.last_index());",
     "let is_up_to_date = last >= (0, 0);",
     LIB + ["log_stays_consistent_under_faults"], {"PROPERTY_CASES": "4000"}),
    ("commits before a majority", "src/agree/replica/replication.rs",
     "matched.get(self.quorum() - 1)", "matched.first()",
     LIB + ["log_stays_consistent_under_faults"], {}),
    ("votes are forgotten", "src/agree/replica/election.rs",
     "            self.hard_state.voted_for = Some(from);\n            self.persist_hard_state();\n",
     "            self.hard_state.voted_for = Some(from);\n",
     LIB + ["log_stays_consistent_under_faults"], {"PROPERTY_CASES": "20000"}),
    ("no check for a majority in hearing", "src/agree/replica/replication.rs",
     "if !self.is_in_contact_with_quorum(now) {", "if false {",
     LIB + ["a_partitioned_leader_steps_down"], {}),
    ("a store takes messages for an earlier one", "src/agree/replica.rs",
     "if envelope.to != self.id {", "if false {",
     LIB + ["a_message_for_another_store"], {}),
    ("a newcomer counts before it has caught up", "src/agree/replica/membership.rs",
     "!m.voter && matched.is_some_and(|index| index >= self.commit)", "!m.voter && matched.is_some()",
     LIB + ["a_store_that_replaces_a_lost_disk"], {}),
    ("damage is taken for a torn tail", "src/store/disk.rs",
     "if was_synced || record::has_later(&bytes[at..], sequence) {", "if was_synced {",
     LIB + ["damage_in_the_middle"], {}),
    ("checksums are not looked at", "src/store/record.rs",
     "if checksum(sequence, payload) != expected {", "if false {",
     LIB + ["a_damaged_byte_is_never_read"], {}),
    ("anyone may free a key", "src/claim/table.rs",
     "if entry.state != ClaimState::Running(claim.attempt) {", "if false {",
     LIB + ["only_the_holder_can_release_a_key"], {}),
    ("a clock that runs backwards frees keys", "src/claim/table.rs",
     "self.newest_ms = self.newest_ms.max(at_ms);", "self.newest_ms = at_ms;",
     LIB + ["a_clock_that_runs_backwards"], {}),
    ("lower versions are adopted", "src/config/history.rs",
     "PullResponse::Snapshot(config) if config.version > before => {", "PullResponse::Snapshot(config) if config.version > 0 => {",
     LIB + ["a_lower_or_equal_version_is_never_adopted"], {}),
    ("operations are not remembered", "src/control/state.rs",
     "if let Some(first) = self.operations.get(&operation) {", "if let Some(first) = self.operations.get(\"\") {",
     LIB + ["a_resent_change_gets_its_recorded_outcome"], {}),
    ("the version a change builds on is not looked at", "src/control/state.rs",
     "Some(base) if base != version =>", "Some(base) if base > version =>",
     LIB + ["of_two_concurrent_changes"], {}),
    ("a break after sending counts as not sent", "src/delivery/attempt.rs",
     "Err(_) => Attempt::Unknown(UnknownReason::Broken),\n    }\n}", "Err(_) => Attempt::NotSent,\n    }\n}",
     scenario("a break after the call was sent"), {}),
    ("calls are not claimed", "src/router/run_once.rs",
     "    if !job.call.run_once {\n        return Ok(None);", "    if true {\n        return Ok(None);",
     scenario("a resend through another router"), {}),
    ("crossed answers are passed on", "src/delivery/attempt.rs",
     "if echoed.is_some_and(|id| id != call.id) {", "if false {",
     scenario("crossed answers are dropped"), {}),
    ("broken streams are not resumed", "src/router/stream.rs",
     "if self.resumes >= MAX_RESUMES || self.output_tokens == 0 || rest.is_some() {", "if true {",
     scenario("a stream that breaks is resumed"), {}),
    ("leaving endpoints are used on", "src/dispatch/capacity.rs",
     "state.leaving = endpoint.leaving || leaving.contains(id);", "state.leaving = false;",
     scenario("an operator says so"), {}),
    ("a stop ends at once", "src/router.rs",
     "        stop.cancelled().await;\n        tokio::time::sleep(drain).await;", "        stop.cancelled().await;",
     scenario("the dispatcher stops while others"), {}),
    ("sessions of suspected routers stay open", "src/router/dispatchers.rs",
     "            () = closed.cancelled() => break,", "            () = std::future::pending() => break,",
     scenario("the dispatcher is frozen and thawed"), {}),
]


def main():
    scratch = Path(sys.argv[1]).resolve()
    wanted = sys.argv[2:]
    root = Path(__file__).resolve().parent.parent
    copy = scratch / "copy"
    if copy.exists():
        shutil.rmtree(copy)
    shutil.copytree(root, copy, ignore=shutil.ignore_patterns("target", ".git", "out"))
    environment = dict(os.environ, CARGO_TARGET_DIR=str(scratch / "target"))
    missed = 0
    for name, file, old, new, test, extra in VARIANTS:
        if wanted and not any(w in name for w in wanted):
            continue
        path = copy / file
        sound = path.read_text()
        if sound.count(old) != 1:
            print(f"STALE   {name}: its text stands {sound.count(old)} times in {file}", flush=True)
            missed += 1
            continue
        path.write_text(sound.replace(old, new))
        run = subprocess.run(["cargo", "test", *test], cwd=copy, env={**environment, **extra},
                             capture_output=True, text=True, errors="replace", timeout=560)
        path.write_text(sound)
        broken = "error: could not compile" in run.stderr
        failed = run.returncode != 0 and not broken
        verdict = "noticed" if failed else ("BROKEN" if broken else "MISSED")
        missed += not failed
        print(f"{verdict:7} {name}: {test[-1]}", flush=True)
    sys.exit(1 if missed else 0)


main()
