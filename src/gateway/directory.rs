//! Follows the directory of all routers, which control hosts make.

use std::sync::Arc;
use std::time::Duration;

use rand::RngExt;
use rand::seq::IndexedRandom;
use tokio::time::Instant;

use super::state::Gateway;
use crate::error::{Result, RpcSnafu};
use crate::resumption::DirectoryAnswer;
use crate::wire::{Open, Role};

/// How often the directory is requested while the number of routers stays the same: some may have
/// replaced others.
const REFRESH_INTERVAL: Duration = Duration::from_secs(10);
/// How often the number of routers, which control hosts report, is looked at.
const COUNT_INTERVAL: Duration = Duration::from_millis(100);
/// Spread of the requests after a change, for each router of the fleet.
const SPREAD_PER_ROUTER: Duration = Duration::from_millis(2);
/// Pause after a failed request, doubled each time: control hosts of an older release answer none.
const MIN_RETRY_PAUSE: Duration = Duration::from_millis(50);
/// How long to wait for the directory.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);

/// Requests the directory at the start, when the number of routers changes, and from time to time.
pub(super) async fn follow(gateway: Arc<Gateway>) {
    let mut known_count = None;
    let mut retry_pause = MIN_RETRY_PAUSE;
    loop {
        let count = gateway.feeds.router_count();
        // The first request is not delayed: until it is answered, no stream can be resumed here.
        if known_count.is_some_and(|known_count| known_count != count) {
            let spread = SPREAD_PER_ROUTER * u32::try_from(count).unwrap_or(u32::MAX);
            let pause = spread.mul_f64(rand::rng().random());
            tokio::time::sleep(pause).await;
        }
        match request(&gateway).await {
            Ok(answer) => adopt(&gateway, answer),
            Err(error) => {
                log::debug!("gateway: no directory of routers: {error}");
                tokio::time::sleep(retry_pause).await;
                retry_pause = (2 * retry_pause).min(REFRESH_INTERVAL);
                continue;
            }
        }
        known_count = Some(count);
        retry_pause = MIN_RETRY_PAUSE;
        let refresh_at = Instant::now() + REFRESH_INTERVAL;
        while gateway.feeds.router_count() == count && Instant::now() < refresh_at {
            tokio::time::sleep(COUNT_INTERVAL).await;
        }
    }
}

fn adopt(gateway: &Gateway, answer: DirectoryAnswer) {
    if let DirectoryAnswer::Changed(directory) = answer {
        log::info!("gateway: {} routers in the directory", directory.routers.len());
        gateway.records.set_directory(directory);
    }
}

async fn request(gateway: &Gateway) -> Result<DirectoryAnswer> {
    let view = gateway.peers.view();
    let control: Vec<_> = view.with_role(Role::Control).collect();
    let Some(host) = control.choose(&mut rand::rng()) else {
        return RpcSnafu { message: "no control host is known" }.fail();
    };
    let digest = gateway.records.directory().digest();
    let open = Open::Directory { router: gateway.peers.me, digest };
    let exchange = async {
        let (mut reader, _writer) = gateway.peers.connect(host.peer, &open).await?;
        reader.next::<DirectoryAnswer>().await
    };
    let result = tokio::time::timeout(ANSWER_TIMEOUT, exchange).await;
    result.unwrap_or_else(|_| RpcSnafu { message: "no directory in time" }.fail())
}
