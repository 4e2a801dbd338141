//! Hosts that restart with an empty member table.

use proptest::prelude::*;

use super::super::HEARTBEAT_MS;
use super::network::{LOSS_WINDOW, Network};
use crate::dispatch::Millis;

/// Within this time after a restart every host has sent a heartbeat and received the answer:
/// one heartbeat interval and a round trip.
const MAX_REJOIN_MS: Millis = HEARTBEAT_MS + 10;

fn start_fleet(routers: u32, controls: u32, start_intervals: &[Millis]) -> Network {
    let mut network = Network::new(routers, controls);
    let hosts = 1..=routers + controls;
    for (host, interval) in hosts.zip(start_intervals.iter().cycle()) {
        network.start(host);
        network.run(*interval);
    }
    network
}

proptest! {
    #![proptest_config(crate::testing::property(64))]

    /// After a restart of all control hosts at any time, routers and control hosts see each
    /// other as live after one heartbeat, and from then on.
    #[test]
    fn hosts_that_restart_are_known_again_after_one_heartbeat(
        start_intervals in prop::collection::vec(0u64..200, 1..6),
        killed_after in 1_000u64..12_000,
        down in 50u64..3_000,
        gap in 0u64..100,
    ) {
        let mut network = start_fleet(4, 3, &start_intervals);
        network.run(killed_after);
        prop_assert_eq!(network.unknown_pairs(), vec![]);
        network.control_numbers().for_each(|host| network.kill(host));
        network.run(down);
        for host in network.control_numbers() {
            network.start(host);
            network.run(gap);
        }
        network.run(MAX_REJOIN_MS);
        for _ in 0..10 {
            prop_assert_eq!(network.unknown_pairs(), vec![]);
            network.run(HEARTBEAT_MS);
        }
    }

    /// The same if a router restarts too and links lose up to one datagram of three. At worst
    /// a heartbeat, the request for a full one and its answer are lost in successive
    /// intervals, and the fourth heartbeat succeeds.
    #[test]
    fn hosts_are_known_again_after_a_restart_despite_losses(
        killed_after in 1_000u64..12_000,
        lost in prop::collection::vec(prop::bool::weighted(0.3), 500),
    ) {
        let mut network = start_fleet(4, 3, &[7]);
        network.run(killed_after);
        network.set_losses(lost);
        let restarted: Vec<_> = network.control_numbers().chain([1]).collect();
        restarted.iter().for_each(|host| network.kill(*host));
        network.run(100);
        restarted.iter().for_each(|host| network.start(*host));
        network.run(u64::from(LOSS_WINDOW + 1) * HEARTBEAT_MS);
        for step in 0..100 {
            prop_assert_eq!(network.unknown_pairs(), vec![], "after {} ms", step * 50);
            network.run(50);
        }
    }
}
