mod connection;
mod sources;
mod table_fetch;

use std::sync::Arc;

use super::following::{Following, Reason, Step};
use super::news::News;
use super::{LeaderNews, Subscribers};
use crate::member::View;
use crate::wire::{Heartbeat, HostId, Role};

const ME: HostId = HostId(1);
const CONTROL: HostId = HostId(2);
const OTHER: HostId = HostId(3);

fn beat(host: HostId, incarnation: u64) -> Heartbeat {
    let address = std::net::SocketAddr::from(([127, 0, 0, 1], 7_000 + host.0 as u16));
    Heartbeat {
        host,
        incarnation,
        role: if host == ME { Role::Router } else { Role::Control },
        hall: "a".into(),
        peer: address,
        operator: address,
        version: 0,
        draining: false,
        also: None,
    }
}

/// A leader as named by a host that has caught up with it.
fn named(term: u64, leader: Option<HostId>) -> LeaderNews {
    LeaderNews { term, leader, has_caught_up: true }
}

fn live(incarnation: u64) -> View {
    View { live: vec![beat(ME, 1), beat(CONTROL, incarnation)], suspected: vec![] }
}

fn suspected(incarnation: u64) -> View {
    View { live: vec![beat(ME, 1)], suspected: vec![beat(CONTROL, incarnation)] }
}

fn open() -> Step {
    Step::Open(CONTROL, beat(CONTROL, 1).peer)
}

#[test]
fn a_feed_that_delivers_outlives_a_suspicion() {
    let mut following = Following::default();
    assert_eq!(following.adopt(ME, &live(1), |_| 0), [open()]);
    assert_eq!(following.adopt(ME, &suspected(1), |_| 5), []);
    assert_eq!(following.adopt(ME, &suspected(1), |_| 6), []);
    assert_eq!(following.adopt(ME, &live(1), |_| 6), []);
    // The next suspicion counts anew.
    assert_eq!(following.adopt(ME, &suspected(1), |_| 6), []);
    let silent = [Step::End(CONTROL, Reason::Silent), open()];
    assert_eq!(following.adopt(ME, &live(1), |_| 6), silent);
}

#[test]
fn a_feed_is_opened_anew_where_its_host_has_restarted() {
    let mut following = Following::default();
    following.adopt(ME, &live(1), |_| 0);
    let restarted = [Step::End(CONTROL, Reason::Restarted), open()];
    assert_eq!(following.adopt(ME, &live(2), |_| 5), restarted);
    assert_eq!(following.adopt(ME, &live(2), |_| 5), []);
}

#[test]
fn a_feed_ends_when_its_host_is_forgotten() {
    let mut following = Following::default();
    following.adopt(ME, &live(1), |_| 0);
    let alone = View { live: vec![beat(ME, 1)], suspected: vec![] };
    let forgotten = [Step::End(CONTROL, Reason::Forgotten)];
    assert_eq!(following.adopt(ME, &alone, |_| 0), forgotten);
}

#[test]
fn the_leader_of_the_highest_term_named_by_a_live_host_counts() {
    let mut news = News::default();
    [CONTROL, OTHER].iter().for_each(|host| news.opened(0, *host));
    news.set_leader(CONTROL, named(3, Some(CONTROL)));
    news.set_leader(OTHER, named(4, Some(OTHER)));
    assert_eq!(news.leader(|_| true), Some(OTHER));
    assert_eq!(news.leader(|host| host != OTHER), Some(CONTROL));
    news.set_leader(OTHER, named(5, None));
    assert_eq!(news.leader(|_| true), Some(CONTROL));
    news.lost(CONTROL);
    assert_eq!(news.leader(|_| true), None);
    // What comes from a feed that has ended says nothing.
    news.set_leader(CONTROL, named(6, Some(CONTROL)));
    assert_eq!(news.leader(|_| true), None);
}

#[test]
fn control_hosts_that_restart_do_not_make_the_fleet_look_small() {
    let mut news = News::default();
    assert_eq!(news.routers(0), 1);
    news.opened(0, CONTROL);
    news.set_routers(0, CONTROL, 9);
    assert_eq!(news.routers(0), 9);
    // It restarts and hears one router after the other.
    news.lost(CONTROL);
    assert_eq!(news.routers(1_000), 9);
    news.opened(0, CONTROL);
    for heard in 1..9 {
        news.set_routers(1_000 + heard, CONTROL, heard as usize);
        assert_eq!(news.routers(1_000 + heard), 9);
    }
    assert_eq!(news.routers(11_000), 9, "ten seconds after the first smaller number");
    assert_eq!(news.routers(11_001), 8);
    news.set_routers(12_000, CONTROL, 20);
    assert_eq!(news.routers(12_000), 20, "more count at once");
}

#[test]
fn routers_that_no_control_host_hears_keep_the_last_number() {
    let mut news = News::default();
    news.opened(0, CONTROL);
    news.set_routers(0, CONTROL, 9);
    news.lost(CONTROL);
    assert_eq!(news.routers(60_000), 9);
}

/// A connection that is handed over stays in its data hall, and so in its region.
#[test]
fn only_routers_of_the_same_hall_are_named_for_handing_over() {
    let router = |host, hall: &str| Heartbeat {
        role: Role::Router,
        hall: hall.into(),
        ..beat(HostId(host), 1)
    };
    let live = vec![router(4, "a"), router(5, "b"), router(6, "a"), beat(CONTROL, 1)];
    let view = View { live, suspected: vec![router(7, "a")] };
    let named = super::publish::neighbours(&view, "a");
    let hosts: Vec<_> = named.iter().map(|neighbour| neighbour.host).collect();
    assert_eq!(hosts, [HostId(4), HostId(6)]);
}

#[test]
fn the_silence_of_feeds_is_told() {
    let mut news = News::default();
    assert_eq!(news.shortest_silence_ms(10), None);
    news.opened(0, CONTROL);
    news.opened(0, OTHER);
    news.heard(400, CONTROL);
    assert_eq!(news.shortest_silence_ms(1_000), Some(600));
    assert_eq!(news.longest_silence_ms(1_000), Some(1_000));
    news.lost(OTHER);
    assert_eq!(news.longest_silence_ms(1_000), Some(600));
}

#[test]
fn what_is_read_after_standing_still_confirms_nothing_until_a_control_host_speaks() {
    let all = |_| true;
    let mut news = News::default();
    news.opened(0, CONTROL);
    news.set_leader(CONTROL, named(1, Some(CONTROL)));
    assert!(!news.tick(0));
    assert!(!news.tick(200));
    assert!(news.is_confirmed(400, all));
    // The host is suspended. What was said before is read after that, before any timer.
    news.heard(60_000, CONTROL);
    assert!(!news.is_confirmed(60_000, all));
    assert!(!news.speaks_now(60_000, CONTROL));
    assert!(news.tick(60_001));
    assert!(!news.is_confirmed(60_001, all));
    let (waking, silent) = news.not_spoken();
    assert_eq!(silent, [CONTROL]);
    // A feed that is opened since then needs no answer.
    news.opened(60_010, OTHER);
    assert!(news.speaks_now(60_010, OTHER));
    news.spoke_since(CONTROL, waking);
    assert!(news.is_confirmed(60_010, all));
    // An answer to an earlier question says nothing of now.
    assert!(news.tick(70_000));
    news.spoke_since(CONTROL, waking);
    assert!(!news.speaks_now(70_000, CONTROL));
}

#[test]
fn what_control_hosts_said_is_confirmed_by_their_keep_alives() {
    let mut news = News::default();
    let all = |_| true;
    assert!(!news.is_confirmed(0, all), "nobody is followed");
    for host in [CONTROL, OTHER] {
        news.opened(0, host);
        news.set_leader(host, named(3, Some(CONTROL)));
    }
    assert!(news.is_confirmed(1_499, all));
    assert!(!news.is_confirmed(1_500, all));
    news.heard(1_400, OTHER);
    assert!(news.is_confirmed(1_500, all));
    assert!(!news.is_confirmed(1_500, |host| host != OTHER), "it is suspected");
}

/// A control host that has started again hears the leader before it knows what was
/// accepted, and tells an older routing meanwhile.
#[test]
fn a_host_that_has_not_caught_up_confirms_nothing() {
    let mut news = News::default();
    let all = |_| true;
    news.opened(0, CONTROL);
    news.set_leader(CONTROL, LeaderNews { has_caught_up: false, ..named(3, Some(CONTROL)) });
    assert!(!news.is_confirmed(0, all));
    news.set_leader(CONTROL, named(3, Some(CONTROL)));
    assert!(news.is_confirmed(0, all));
    // Who is behind in terms may be cut off with a leader that leads no more.
    news.opened(0, OTHER);
    news.set_leader(OTHER, LeaderNews { has_caught_up: false, ..named(4, Some(OTHER)) });
    assert!(!news.is_confirmed(0, all));
    news.set_leader(OTHER, named(4, None));
    assert!(news.is_confirmed(0, all));
}

#[test]
fn a_feed_counts_as_told_while_it_is_open() {
    let subscribers = Arc::new(Subscribers::default());
    let (first, second) = (subscribers.opened(ME), subscribers.opened(OTHER));
    first.told(7);
    second.told(5);
    assert_eq!(
        (subscribers.count(), subscribers.count_sent(7), subscribers.count_sent(5)),
        (2, 1, 2)
    );
    drop(first);
    assert_eq!((subscribers.count(), subscribers.count_sent(7)), (1, 0));
}

#[tokio::test]
async fn a_subscriber_that_opens_a_feed_anew_ends_the_one_before() {
    let subscribers = Arc::new(Subscribers::default());
    let dead = subscribers.opened(ME);
    let anew = subscribers.opened(ME);
    dead.superseded().await;
    anew.told(7);
    dead.told(3);
    drop(dead);
    assert_eq!((subscribers.count(), subscribers.count_sent(7)), (1, 1));
}
