//! Bodies of requests at the product's own interface.

use std::fs::File;
use std::io::Write;

use super::clients::{Crowd, Script};
use super::process::{Place, Watch};
use super::site_fleet::Fleet;
use super::{MAX_BODY_BYTES, MAX_TRIES, RETRY_PAUSE, ROUTER, alone, exchange};

const CLIENTS: usize = 150;
const LARGE_CHUNK_BYTES: usize = 64 << 10;
/// Clients whose heads have no end, and the bytes of each.
const ENDLESS_HEADS: usize = 1_000;
const ENDLESS_HEAD_BYTES: usize = 400 << 10;
/// A quarter of the memory of a router's machine.
const SETTINGS: &str = "requests:\n  held_bytes: 64000000\n";

fn head(customer: &str) -> String {
    format!(
        "POST /tiket-app/quotes HTTP/1.1\r\nHost: x\r\nX-Bramblecrank-Customer: {customer}\r\n\
         Content-Type: application/json\r\n"
    )
}

/// Checks that a router bears a crowd and serves others and the same customer meanwhile.
async fn assert_router_bears(scripts: impl IntoIterator<Item = Script>) {
    let _alone = alone().await;
    let mut fleet = Fleet::start(1, 1, 1, 1).await;
    fleet.kill("router-1");
    let settings = fleet.folder.path().join("router-1.yaml");
    let mut settings = File::options().append(true).open(settings).unwrap();
    settings.write_all(SETTINGS.as_bytes()).unwrap();
    fleet.spawn("router-1");
    fleet.wait_ready(0).await;
    let router = fleet.site.router_address(0);
    let watch = Watch::start("router", fleet.process_id("router-1"), Place::port(router));
    let crowd = Crowd::start(router, scripts);
    crowd.settle().await;
    for customer in ["market-traders", "school-groups"] {
        let text = head(customer) + "Content-Length: 2\r\nConnection: close\r\n\r\n{}";
        let mut last = None;
        for _ in 0..MAX_TRIES {
            last = exchange(router, &text).await;
            if last == Some(200) {
                break;
            }
            tokio::time::sleep(RETRY_PAUSE).await;
        }
        assert_eq!(last, Some(200), "an ordinary request of {customer}");
    }
    watch.assert_within(ROUTER);
}

#[tokio::test(flavor = "multi_thread")]
async fn bodies_that_stop_short_of_their_end_do_not_fill_a_router() {
    let script =
        || Script::with_length(&head("market-traders"), MAX_BODY_BYTES, MAX_BODY_BYTES - 1);
    assert_router_bears((0..CLIENTS).map(|_| script())).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn chunks_that_stop_short_of_their_end_do_not_fill_a_router() {
    let chunks = MAX_BODY_BYTES / LARGE_CHUNK_BYTES;
    let script = || Script::with_chunks(&head("market-traders"), LARGE_CHUNK_BYTES, chunks);
    assert_router_bears((0..CLIENTS).map(|_| script())).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn heads_without_end_do_not_fill_a_router() {
    let script = || super::connections::endless_head(ENDLESS_HEAD_BYTES);
    assert_router_bears((0..ENDLESS_HEADS).map(|_| script())).await;
}
