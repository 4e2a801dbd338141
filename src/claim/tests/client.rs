//! The claim client over real sockets.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use tokio::sync::mpsc;

use super::super::{ClaimClient, ClaimDecision};
use super::claim;
use crate::control::{ClaimAnswer, ClaimReply, ClaimRequest};
use crate::peer::Incoming;
use crate::testing::{peer_address, start_peers, wait_until};
use crate::wire::{Role, write_frame};

/// Time between two requests: far less than the client's time-out for answers.
const REQUEST_INTERVAL: Duration = Duration::from_millis(100);
/// Time limit of each request.
const REQUEST_LIMIT: Duration = Duration::from_secs(3);

/// Accepts connections and never answers.
async fn accept_and_ignore(mut incoming: mpsc::Receiver<Incoming>, accepted: Arc<AtomicUsize>) {
    let mut open = Vec::new();
    while let Some(connection) = incoming.recv().await {
        accepted.fetch_add(1, Ordering::Relaxed);
        open.push(connection);
    }
}

/// Grants every claim.
async fn grant_all(mut incoming: mpsc::Receiver<Incoming>) {
    while let Some(Incoming { mut reader, mut writer, .. }) = incoming.recv().await {
        tokio::spawn(async move {
            while let Ok(requests) = reader.next::<Vec<ClaimRequest>>().await {
                let reply = ClaimReply::Claimed(ClaimDecision::Granted);
                let answer =
                    |r: ClaimRequest| ClaimAnswer { number: r.number, reply: reply.clone() };
                let answers: Vec<_> = requests.into_iter().map(answer).collect();
                if write_frame(&mut writer, &answers).await.is_err() {
                    return;
                }
            }
        });
    }
}

#[tokio::test]
async fn an_unresponsive_host_is_abandoned_under_steady_requests() {
    let (_answers, answering) = start_peers(Role::Control, 31, vec![]).await;
    let (_unresponsive, unresponsive) = start_peers(Role::Control, 32, vec![]).await;
    let accepted = Arc::new(AtomicUsize::new(0));
    tokio::spawn(accept_and_ignore(unresponsive, accepted.clone()));
    tokio::spawn(grant_all(answering));
    let seeds = vec![peer_address(31), peer_address(32)];
    let (router, _) = start_peers(Role::Router, 33, seeds).await;
    wait_until(|| router.view().with_role(Role::Control).count() == 2).await;
    let claims = ClaimClient::start(router);
    let granted = Arc::new(AtomicUsize::new(0));
    for number in 0..100 {
        let (claims, count) = (claims.clone(), granted.clone());
        tokio::spawn(async move {
            let key = format!("key-{number}");
            if claims.claim(claim(number, &key), REQUEST_LIMIT).await
                == Some(ClaimDecision::Granted)
            {
                count.fetch_add(1, Ordering::Relaxed);
            }
        });
        tokio::time::sleep(REQUEST_INTERVAL).await;
        if granted.load(Ordering::Relaxed) > 0 {
            break;
        }
    }
    assert!(accepted.load(Ordering::Relaxed) > 0, "the unresponsive host was not asked first");
    assert!(granted.load(Ordering::Relaxed) > 0, "the other host was not asked after it");
}
