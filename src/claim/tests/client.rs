//! A router's claims over real sockets.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use tokio::sync::mpsc;

use super::super::{Claimed, Claims};
use super::claim;
use crate::control::{ClaimAnswer, ClaimOutcome, ClaimRequest};
use crate::peer::Incoming;
use crate::testing::{peer_address, start_peers, wait_until};
use crate::wire::{Role, write_frame};

/// Time between two requests: far less than the time after which a host is silent.
const BETWEEN: Duration = Duration::from_millis(100);
/// How long each request waits.
const LIMIT: Duration = Duration::from_secs(3);

/// Takes connections and reads nothing.
async fn say_nothing(mut incoming: mpsc::Receiver<Incoming>, taken: Arc<AtomicUsize>) {
    let mut open = Vec::new();
    while let Some(connection) = incoming.recv().await {
        taken.fetch_add(1, Ordering::Relaxed);
        open.push(connection);
    }
}

/// Grants every claim.
async fn grant(mut incoming: mpsc::Receiver<Incoming>) {
    while let Some(Incoming { mut reader, mut writer, .. }) = incoming.recv().await {
        tokio::spawn(async move {
            while let Ok(requests) = reader.next::<Vec<ClaimRequest>>().await {
                let outcome = ClaimOutcome::Claimed(Claimed::Granted);
                let answer =
                    |r: ClaimRequest| ClaimAnswer { number: r.number, outcome: outcome.clone() };
                let answers: Vec<_> = requests.into_iter().map(answer).collect();
                if write_frame(&mut writer, &answers).await.is_err() {
                    return;
                }
            }
        });
    }
}

#[tokio::test]
async fn a_silent_host_is_given_up_under_steady_requests() {
    let (_answers, answering) = start_peers(Role::Control, 31, vec![]).await;
    let (_silent, silent) = start_peers(Role::Control, 32, vec![]).await;
    let taken = Arc::new(AtomicUsize::new(0));
    tokio::spawn(say_nothing(silent, taken.clone()));
    tokio::spawn(grant(answering));
    let seeds = vec![peer_address(31), peer_address(32)];
    let (router, _) = start_peers(Role::Router, 33, seeds).await;
    wait_until(|| router.view().with_role(Role::Control).count() == 2).await;
    let claims = Claims::start(router);
    let granted = Arc::new(AtomicUsize::new(0));
    for number in 0..100 {
        let (claims, count) = (claims.clone(), granted.clone());
        tokio::spawn(async move {
            let key = format!("key-{number}");
            if claims.claim(claim(number, &key), LIMIT).await == Some(Claimed::Granted) {
                count.fetch_add(1, Ordering::Relaxed);
            }
        });
        tokio::time::sleep(BETWEEN).await;
        if granted.load(Ordering::Relaxed) > 0 {
            break;
        }
    }
    assert!(taken.load(Ordering::Relaxed) > 0, "the silent host was asked first");
    assert!(granted.load(Ordering::Relaxed) > 0, "the other host is asked after it");
}
