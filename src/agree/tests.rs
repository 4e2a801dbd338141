//! The replicated log under lost, duplicated, delayed and reordered messages, cut links,
//! crashes, lost disks and membership changes.

mod catch_up;
mod group;
mod power;

use proptest::prelude::*;

use super::*;
use group::{Disk, Group, member};

#[derive(Clone, Debug)]
enum Event {
    Propose(u64),
    Crash(u64),
    Restart(u64),
    Compact(u64),
    CutLink(u64, u64),
    Isolate(u64),
    RestoreLinks,
    Loss(u8),
    StallDisk(u64),
    LoseDisk(u64),
    Run(u8),
}

fn event() -> impl Strategy<Value = Event> {
    let id = 1u64..=5;
    prop_oneof![
        6 => id.clone().prop_map(Event::Propose),
        2 => id.clone().prop_map(Event::Crash),
        3 => id.clone().prop_map(Event::Restart),
        2 => id.clone().prop_map(Event::Compact),
        2 => (id.clone(), id.clone()).prop_map(|(a, b)| Event::CutLink(a, b)),
        1 => id.clone().prop_map(Event::Isolate),
        2 => Just(Event::RestoreLinks),
        2 => (0u8..30).prop_map(Event::Loss),
        1 => id.clone().prop_map(Event::StallDisk),
        1 => id.prop_map(Event::LoseDisk),
        8 => (1u8..60).prop_map(Event::Run),
    ]
}

/// Loses a store's disk: its host comes back with a new store, which is added as a learner
/// that replaces the old one.
fn lose_disk(group: &mut Group, id: StoreId) {
    let Some(leader) = group.leader().filter(|l| *l != id) else { return };
    let status = group.stores[&leader].replica.as_ref().unwrap().status();
    let is_stable = status.members.iter().all(|m| m.voter && group.stores.contains_key(&m.store));
    // No protocol survives the loss of a majority of the disks.
    if !is_stable || !status.members.iter().any(|m| m.store == id) {
        return;
    }
    let new = StoreId(group.stores.keys().last().unwrap().0 + 1);
    let mut members = status.members;
    members.push(member(new.0, false, Some(id)));
    let now = group.now;
    let replica = group.stores.get_mut(&leader).unwrap().replica.as_mut().unwrap();
    let Ok(Some(out)) = replica.change_members(now, members) else { return };
    group.carry_out(leader, out);
    group.stores.remove(&id);
    group.start(new, Disk::empty(1));
}

fn apply_event(group: &mut Group, event: Event) {
    match event {
        Event::Propose(id) => {
            let to = if id % 2 == 0 { group.leader().unwrap_or(StoreId(id)) } else { StoreId(id) };
            group.propose(to);
        }
        Event::Crash(id) => group.crash(StoreId(id)),
        Event::Restart(id) => group.restart(StoreId(id)),
        Event::Compact(id) => group.compact(StoreId(id)),
        Event::CutLink(a, b) => {
            group.cut_links.insert((StoreId(a), StoreId(b)));
        }
        Event::Isolate(id) => {
            for other in group.stores.keys().copied().collect::<Vec<_>>() {
                group.cut_links.insert((StoreId(id), other));
                group.cut_links.insert((other, StoreId(id)));
            }
        }
        Event::RestoreLinks => group.cut_links.clear(),
        Event::Loss(percent) => group.loss_rate = f64::from(percent) / 100.0,
        Event::StallDisk(id) => {
            group.stalled_disks.insert(StoreId(id));
        }
        Event::LoseDisk(id) => lose_disk(group, StoreId(id)),
        Event::Run(steps) => group.run(steps.into()),
    }
}

proptest! {
    #![proptest_config(crate::testing::property(64))]

    /// Under any sequence of faults each term has at most one leader and no committed entry
    /// is lost or changed; after the faults end, all voters reach the same state.
    #[test]
    fn log_stays_consistent_under_faults(
        size in prop_oneof![Just(3u64), Just(5)],
        seed in any::<u64>(),
        events in proptest::collection::vec(event(), 0..60),
    ) {
        let mut group = Group::new(size, seed);
        group.run(100);
        for event in events {
            apply_event(&mut group, event);
        }
        group.heal();
        group.assert_same_state();
    }
}

#[test]
fn a_partitioned_leader_steps_down_and_forces_no_election_when_healed() {
    let mut group = Group::new(3, 7);
    group.run(150);
    let old = group.leader().unwrap();
    for other in [1, 2, 3].map(StoreId) {
        group.cut_links.insert((old, other));
        group.cut_links.insert((other, old));
    }
    group.propose(old);
    let (_, _, index) = *group.accepted.last().unwrap();
    group.run(300);
    assert!(!group.committed.contains_key(&index) || group.leader() != Some(old));
    assert_ne!(group.stores[&old].replica.as_ref().unwrap().status().role, Role::Leader);
    let new = group.leader().unwrap();
    let term = group.stores[&new].replica.as_ref().unwrap().status().term;
    group.cut_links.clear();
    group.run(200);
    assert_eq!(group.leader(), Some(new));
    assert_eq!(group.stores[&new].replica.as_ref().unwrap().status().term, term);
}

#[test]
fn a_leader_is_elected_after_split_votes() {
    for seed in 0..20 {
        let mut group = Group::new(5, seed);
        group.run(300);
        assert!(group.leader().is_some(), "no leader with seed {seed}");
    }
}

#[test]
fn a_store_that_replaces_a_lost_disk_votes_only_after_it_has_caught_up() {
    let mut group = Group::new(3, 3);
    group.run(150);
    let leader = group.leader().unwrap();
    let lost = [1, 2, 3].map(StoreId).into_iter().find(|s| *s != leader).unwrap();
    for _ in 0..20 {
        group.propose(leader);
        group.run(2);
    }
    // The new store is a learner, but the leader's messages don't reach it yet.
    group.cut_links.insert((leader, StoreId(4)));
    lose_disk(&mut group, lost);
    group.run(100);
    let status = group.stores[&leader].replica.as_ref().unwrap().status();
    assert!(!status.members.iter().find(|m| m.store == StoreId(4)).unwrap().voter);
    group.cut_links.clear();
    group.run(100);
    let voters = group.voters();
    assert!(voters.contains(&StoreId(4)) && !voters.contains(&lost));
    // A second store is lost right after: now the new one is needed for the quorum.
    let second = voters.iter().find(|v| **v != StoreId(4) && **v != leader).copied().unwrap();
    group.crash(second);
    group.propose(leader);
    group.run(100);
    assert!(group.stores[&StoreId(4)].applied.len() == 21);
}

#[test]
fn a_message_for_another_store_is_ignored() {
    let mut replica =
        Replica::new(0, StoreId(9), HardState::default(), Snapshot::default(), vec![], 1);
    let message = Message::RequestVote { pre_vote: false, last_index: 1, last_term: 1 };
    let envelope = Envelope { from: StoreId(1), to: StoreId(3), term: 2, message };
    assert_eq!(replica.receive(0, envelope), Output::default());
}

#[test]
fn a_read_waits_for_the_acknowledgement_of_a_quorum() {
    let mut group = Group::new(3, 11);
    group.run(150);
    let leader = group.leader().unwrap();
    let replica = group.stores.get_mut(&leader).unwrap().replica.as_mut().unwrap();
    let out = replica.read(group.now, 5).unwrap();
    assert!(out.reads.is_empty());
    let requests: Vec<_> = out.messages.clone();
    for envelope in requests {
        let to = envelope.to;
        let now = group.now;
        let answer =
            group.stores.get_mut(&to).unwrap().replica.as_mut().unwrap().receive(now, envelope);
        for response in answer.messages {
            let replica = group.stores.get_mut(&leader).unwrap().replica.as_mut().unwrap();
            if replica.receive(now, response).reads == [5] {
                return;
            }
        }
    }
    panic!("the read was never answered");
}

#[test]
fn a_read_before_the_first_sync_of_a_single_store_group_is_answered_after_it() {
    let mut group = Group::new(1, 11);
    let store = group.stores.get_mut(&StoreId(1)).unwrap();
    let replica = store.replica.as_mut().unwrap();
    let elected = (0..10_000).find(|now| {
        replica.tick(*now);
        replica.role() == Role::Leader
    });
    let out = replica.read(elected.unwrap(), 5).unwrap();
    assert!(out.reads.is_empty(), "nothing of its own term is committed yet");
    let (index, term) = replica.last_entry();
    assert_eq!(replica.record_synced(index, term).reads, [5]);
}

/// Stores that have restarted learn the leader before the commit index. Until they have the
/// commit index, the state that they have applied may be older than accepted commands.
#[test]
fn a_restarted_store_has_caught_up_once_it_has_every_earlier_commit() {
    let mut group = Group::new(3, 7);
    group.run(150);
    let leader = group.leader().unwrap();
    for _ in 0..5 {
        group.propose(leader);
        group.run(20);
    }
    let committed = *group.committed.keys().last().unwrap();
    let ids = [1, 2, 3].map(StoreId);
    ids.iter().for_each(|id| group.crash(*id));
    ids.iter().for_each(|id| group.restart(*id));
    let mut learned_leader_first = false;
    for _ in 0..300 {
        group.run(1);
        for id in ids {
            let replica = group.stores[&id].replica.as_ref().unwrap();
            match replica.has_caught_up() {
                true => assert!(replica.status().commit >= committed),
                false => learned_leader_first |= replica.leader().is_some(),
            }
        }
    }
    assert!(learned_leader_first, "no store knew the leader before the commit index");
    assert!(ids.iter().all(|id| group.stores[id].replica.as_ref().unwrap().has_caught_up()));
}

#[test]
fn a_snapshot_without_new_entries_is_not_written() {
    let mut group = Group::new(3, 5);
    group.run(150);
    let leader = group.leader().unwrap();
    group.propose(leader);
    let replica = group.stores.get_mut(&leader).unwrap().replica.as_mut().unwrap();
    assert_eq!(replica.compact(0, vec![1]), Output::default());
}

#[test]
fn a_leader_with_a_stalled_disk_commits_entries_synced_by_its_followers() {
    let mut group = Group::new(3, 13);
    group.run(150);
    let leader = group.leader().unwrap();
    group.stalled_disks.insert(leader);
    group.propose(leader);
    let (_, _, index) = *group.accepted.last().unwrap();
    group.run(50);
    assert!(group.committed.contains_key(&index));
    // An entry that is not synced on any disk is not committed.
    let others = [1, 2, 3].map(StoreId).into_iter().filter(|s| *s != leader);
    group.stalled_disks.extend(others);
    group.propose(leader);
    let (_, _, index) = *group.accepted.last().unwrap();
    group.run(20);
    assert!(!group.committed.contains_key(&index));
}

/// A group of three voters, its largest number, that store 4 has joined as a learner; and its leader.
fn group_with_a_learner() -> (Group, StoreId) {
    let mut group = Group::new(3, 17);
    group.run(150);
    let leader = group.leader().unwrap();
    let now = group.now;
    let replica = group.stores.get_mut(&leader).unwrap().replica.as_mut().unwrap();
    replica.set_max_voters(3);
    let (joined, out) = replica.join(now, member(4, false, None)).unwrap();
    assert!(joined);
    group.carry_out(leader, out);
    group.start(StoreId(4), Disk::empty(1));
    (group, leader)
}

#[test]
fn a_learner_replaces_a_silent_voter_and_waits_while_all_are_reachable() {
    let (mut group, leader) = group_with_a_learner();
    group.run(300);
    assert!(!group.voters().contains(&StoreId(4)), "all three voters are reachable");
    let crashed = [1, 2, 3].map(StoreId).into_iter().find(|s| *s != leader).unwrap();
    group.crash(crashed);
    group.run(300);
    let voters = group.voters();
    assert!(voters.contains(&StoreId(4)) && !voters.contains(&crashed));
}

#[test]
fn a_store_without_a_vote_states_no_leader_that_it_does_not_hear() {
    let (mut group, leader) = group_with_a_learner();
    group.run(100);
    let stated = |group: &Group| group.stores[&StoreId(4)].replica.as_ref().unwrap().leader();
    assert_eq!(stated(&group), Some(leader));
    for other in [1, 2, 3].map(StoreId) {
        group.cut_links.insert((other, StoreId(4)));
    }
    // Two of the longest election timeouts.
    group.run(4 * MIN_ELECTION_TIMEOUT_MS as usize / 20);
    assert_eq!(stated(&group), None);
    group.cut_links.clear();
    group.run(100);
    assert_eq!(stated(&group), group.leader());
}

#[test]
fn a_leader_with_reads_all_the_time_replaces_a_silent_voter() {
    let (mut group, leader) = group_with_a_learner();
    let crashed = [1, 2, 3].map(StoreId).into_iter().find(|s| *s != leader).unwrap();
    group.crash(crashed);
    for token in 0..300 {
        group.update(leader, |replica, now| replica.read(now, token).unwrap_or_default());
        group.step();
    }
    let voters = group.voters();
    assert!(voters.contains(&StoreId(4)) && !voters.contains(&crashed), "voters {voters:?}");
}

#[test]
fn a_follower_restarted_within_a_term_has_not_caught_up_before_it_holds_earlier_commits() {
    let mut group = Group::new(3, 5);
    group.run(150);
    let leader = group.leader().unwrap();
    let follower = [1, 2, 3].map(StoreId).into_iter().find(|s| *s != leader).unwrap();
    (0..10).for_each(|_| group.propose(leader));
    group.run(40);
    group.compact(follower);
    group.run(20);
    group.crash(follower);
    (0..10).for_each(|_| group.propose(leader));
    group.run(40);
    let committed = *group.committed.keys().max().unwrap();
    group.restart(follower);
    let caught_up = (0..100).find_map(|_| {
        group.step();
        let replica = group.stores[&follower].replica.as_ref().unwrap();
        let states_it = replica.leader().is_some() && replica.has_caught_up();
        states_it.then(|| replica.status().commit)
    });
    assert!(caught_up.is_some_and(|commit| commit >= committed), "{caught_up:?} of {committed}");
}
