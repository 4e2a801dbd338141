//! Control hosts that are lost for good, and replaced by hosts at other addresses.

use proptest::prelude::*;

use super::network::Network;
use crate::dispatch::Millis;

/// Within this time a router that can reach a control host counts as in touch with it.
const CONTACT_MS: Millis = 3_000;
const ROUTERS: u32 = 3;
/// Numbers that control hosts may have; tables are ordered by them.
const NUMBERS: std::ops::RangeInclusive<u32> = ROUTERS + 1..=ROUTERS + 8;

fn shuffled_numbers() -> impl Strategy<Value = Vec<u32>> {
    Just(NUMBERS.collect::<Vec<_>>()).prop_shuffle()
}

fn start_fleet(controls: &[u32]) -> Network {
    let mut network = Network::new(ROUTERS, 0);
    controls.iter().for_each(|host| network.start_with_seeds(*host, controls));
    network.router_numbers().for_each(|host| network.start_with_seeds(host, controls));
    network
}

proptest! {
    #![proptest_config(crate::testing::property(128))]

    #[test]
    fn routers_know_every_control_host_that_replaces_a_lost_one(
        numbers in shuffled_numbers(),
        intervals in prop::collection::vec(CONTACT_MS..9_000, 5),
        down in 0u64..1_500,
    ) {
        let mut controls = numbers[..3].to_vec();
        let mut network = start_fleet(&controls);
        network.run(CONTACT_MS);
        for (replacement, interval) in numbers[3..].iter().zip(intervals) {
            network.run(interval);
            network.kill(controls.remove(0));
            network.run(down);
            controls.push(*replacement);
            network.start_with_seeds(*replacement, &controls);
            network.run(CONTACT_MS);
            prop_assert_eq!(network.unknown_pairs(), vec![], "{:?} run", controls);
        }
    }

    #[test]
    fn a_router_with_one_live_seed_knows_all_control_hosts_in_time(
        numbers in shuffled_numbers(),
        running in 3usize..=5,
        started_after in CONTACT_MS..12_000,
    ) {
        let (controls, gone) = numbers.split_at(running);
        let mut network = start_fleet(controls);
        gone.iter().for_each(|host| network.start_with_seeds(*host, controls));
        network.run(started_after);
        gone.iter().for_each(|host| network.kill(*host));
        network.run(started_after);
        network.kill(1);
        network.start_with_seeds(1, &[gone[0], gone[1], controls[0]]);
        network.run(CONTACT_MS);
        prop_assert_eq!(network.unknown_pairs(), vec![]);
    }

    #[test]
    fn a_router_that_was_away_while_all_control_hosts_were_replaced_finds_them_by_new_seeds(
        numbers in shuffled_numbers(),
        interval in CONTACT_MS..9_000,
    ) {
        let mut controls = numbers[..3].to_vec();
        let mut network = start_fleet(&controls);
        network.run(CONTACT_MS);
        for replacement in &numbers[3..6] {
            network.kill(controls.remove(0));
            controls.push(*replacement);
            network.start_with_seeds(*replacement, &controls);
            network.run_without(1, interval);
        }
        network.add_seeds(1, &controls);
        network.run(CONTACT_MS);
        prop_assert_eq!(network.unknown_pairs(), vec![]);
    }

    #[test]
    fn control_hosts_that_restart_with_lost_seeds_find_each_other_by_their_group(
        numbers in shuffled_numbers(),
    ) {
        let (controls, gone) = (&numbers[..3], &numbers[3..6]);
        let mut network = start_fleet(controls);
        network.run(CONTACT_MS);
        for host in controls.iter().copied().chain(network.router_numbers()) {
            network.kill(host);
        }
        for host in controls {
            network.start_with_seeds(*host, gone);
            network.add_seeds(*host, controls);
        }
        let seeds = [gone[0], gone[1], controls[0]];
        network.router_numbers().for_each(|host| network.start_with_seeds(host, &seeds));
        network.run(CONTACT_MS);
        prop_assert_eq!(network.unknown_pairs(), vec![]);
    }

    #[test]
    fn routers_know_a_replacement_though_datagrams_are_lost(
        numbers in shuffled_numbers(),
        losses in prop::collection::vec(any::<bool>(), 0..600),
    ) {
        let mut controls = numbers[..3].to_vec();
        let mut network = start_fleet(&controls);
        network.run(CONTACT_MS);
        network.kill(controls.remove(0));
        controls.push(numbers[3]);
        network.set_losses(losses);
        network.start_with_seeds(numbers[3], &controls);
        network.run(CONTACT_MS);
        prop_assert_eq!(network.unknown_pairs(), vec![]);
    }
}
