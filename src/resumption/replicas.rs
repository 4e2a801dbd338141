//! Which routers keep the record of a stream.
//!
//! The router that begins the stream keeps the record, and has two others keep it: the one that
//! ranks first for the stream among those of its own data hall, where the caller most likely
//! comes back, and the one that ranks first among those of all other halls, in case the hall is
//! lost. A router that looks for the record does not know the hall in which the stream began. The
//! second router is the first of the whole fleet, or else the first outside that one's hall.

use super::directory::{ListedRouter, RouterDirectory};
use super::record::StreamKey;
use crate::wire::HostId;

/// Routers that are asked in the own hall, in the whole fleet, and outside the hall of the
/// first of these. More than one each, since the router that stored the record may have known
/// other routers, or passed over some that did not answer.
const ASKED_IN_HALL: usize = 3;
const ASKED_IN_FLEET: usize = 3;
const ASKED_ELSEWHERE: usize = 2;

/// The routers that should keep the record of a stream, other than `me`, a router of the data
/// hall `hall`; at most two.
pub fn replicas_to_store(
    directory: &RouterDirectory,
    key: StreamKey,
    me: HostId,
    hall: &str,
    is_usable: impl Fn(HostId) -> bool,
) -> Vec<ListedRouter> {
    let hall = directory.hall_index(hall);
    let others =
        || directory.routers.iter().filter(|router| router.host != me && is_usable(router.host));
    let near = first_ranked(key, others().filter(|router| Some(router.hall) == hall), 2);
    let far = first_ranked(key, others().filter(|router| Some(router.hall) != hall), 2);
    let firsts = near.iter().take(1).chain(far.iter().take(1));
    let seconds = near.iter().skip(1).chain(far.iter().skip(1));
    firsts.chain(seconds).take(2).copied().collect()
}

/// The routers that may keep the record of a stream, as far as one of the data hall `hall` can
/// tell.
pub fn replicas_to_ask(
    directory: &RouterDirectory,
    key: StreamKey,
    me: HostId,
    hall: &str,
) -> Vec<ListedRouter> {
    let hall = directory.hall_index(hall);
    let all = directory.routers.iter();
    let near = all.clone().filter(|router| Some(router.hall) == hall && router.host != me);
    let mut asked = first_ranked(key, near, ASKED_IN_HALL);
    let in_fleet = first_ranked(key, all.clone(), ASKED_IN_FLEET);
    let first_hall = in_fleet.first().map(|router| router.hall);
    let elsewhere = all.filter(|router| Some(router.hall) != first_hall);
    for router in in_fleet.into_iter().chain(first_ranked(key, elsewhere, ASKED_ELSEWHERE)) {
        if router.host != me && asked.iter().all(|other| other.host != router.host) {
            asked.push(router);
        }
    }
    asked
}

/// The routers that rank first for a stream, at most `limit`.
fn first_ranked<'a>(
    key: StreamKey,
    routers: impl Iterator<Item = &'a ListedRouter>,
    limit: usize,
) -> Vec<ListedRouter> {
    let mut first: Vec<(u64, ListedRouter)> = Vec::with_capacity(limit + 1);
    for router in routers {
        let rank = rank(key, router.host);
        if first.len() == limit && first.last().is_some_and(|(lowest, _)| rank <= *lowest) {
            continue;
        }
        let at = first.partition_point(|(higher, _)| *higher >= rank);
        first.insert(at, (rank, *router));
        first.truncate(limit);
    }
    first.into_iter().map(|(_, router)| router).collect()
}

/// The rank of a router for a stream, by rendezvous hashing. The bits are mixed as in SplitMix64,
/// which takes a few nanoseconds for each of a thousand routers.
fn rank(key: StreamKey, host: HostId) -> u64 {
    let mut bits = key.seed() ^ u64::from(host.0).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    bits = (bits ^ (bits >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    bits = (bits ^ (bits >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    bits ^ (bits >> 31)
}
