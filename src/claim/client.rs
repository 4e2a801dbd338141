//! A router's client of the claim table, which the leader of the control hosts serves.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::{mpsc, oneshot};

use super::table::{Claim, ClaimDecision, Settlement};
use crate::control::{ClaimAction, ClaimAnswer, ClaimReply, ClaimRequest};
use crate::peer::Peers;
use crate::wire::{BatchWriter, Heartbeat, HostId, Open, Role};

/// How long to wait before the next attempt when there is no leader.
const RETRY_DELAY: Duration = Duration::from_millis(50);
/// Time without any answer of a host, while requests are pending, after which it is given up.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(1_500);
/// How long a settlement is retried until it is acknowledged.
const MAX_SETTLE_TIME: Duration = Duration::from_secs(600);

struct PendingRequest {
    claim: Claim,
    action: ClaimAction,
    expires_at: tokio::time::Instant,
    reply: oneshot::Sender<ClaimReply>,
}

/// Sends claim requests to the leader, and repeats those whose answer was lost.
#[derive(Clone, Debug)]
pub struct ClaimClient(mpsc::UnboundedSender<PendingRequest>);

impl ClaimClient {
    /// Starts the background task, which connects at the first request.
    pub fn start(peers: Arc<Peers>) -> ClaimClient {
        let (sender, requests) = mpsc::unbounded_channel();
        let task = ClientTask {
            peers,
            requests,
            pending: BTreeMap::new(),
            last_number: 0,
            leader: None,
            rotation: 0,
        };
        tokio::spawn(task.run());
        ClaimClient(sender)
    }

    /// The state of a key, without claiming it; none if no attempt holds it or no host
    /// answers within `limit`.
    pub async fn lookup(&self, claim: Claim, limit: Duration) -> Option<ClaimDecision> {
        match self.send_request(claim, ClaimAction::Lookup, limit).await? {
            ClaimReply::Claimed(decision) => Some(decision),
            _ => None,
        }
    }

    /// Claims a key. None if the claim was not decided within `limit`: the call must not
    /// run then, and the claim is released in the background.
    pub async fn claim(&self, claim: Claim, limit: Duration) -> Option<ClaimDecision> {
        match self.send_request(claim.clone(), ClaimAction::Claim, limit).await {
            Some(ClaimReply::Claimed(claimed)) => Some(claimed),
            _ => {
                drop(self.settle(claim, Settlement::NotRun));
                None
            }
        }
    }

    /// Settles a claim and waits for the acknowledgement, at most for `limit`; after that
    /// the settlement is retried in the background.
    pub async fn settle_and_wait(&self, claim: Claim, settlement: Settlement, limit: Duration) {
        let settled = self.settle(claim, settlement);
        let _ = tokio::time::timeout(limit, settled).await;
    }

    /// Settles a claim in the background.
    fn settle(&self, claim: Claim, settlement: Settlement) -> oneshot::Receiver<ClaimReply> {
        let (reply, settled) = oneshot::channel();
        let expires_at = tokio::time::Instant::now() + MAX_SETTLE_TIME;
        let action = ClaimAction::Settle(settlement);
        // Sending cannot fail: the task runs as long as the process.
        let _ = self.0.send(PendingRequest { claim, action, expires_at, reply });
        settled
    }

    async fn send_request(
        &self,
        claim: Claim,
        action: ClaimAction,
        limit: Duration,
    ) -> Option<ClaimReply> {
        let (reply, receiver) = oneshot::channel();
        let expires_at = tokio::time::Instant::now() + limit;
        self.0.send(PendingRequest { claim, action, expires_at, reply }).ok()?;
        tokio::time::timeout(limit, receiver).await.ok()?.ok()
    }
}

struct ClientTask {
    peers: Arc<Peers>,
    requests: mpsc::UnboundedReceiver<PendingRequest>,
    pending: BTreeMap<u64, PendingRequest>,
    last_number: u64,
    leader: Option<HostId>,
    rotation: usize,
}

impl ClientTask {
    async fn run(mut self) {
        loop {
            if self.pending.is_empty() {
                let Some(request) = self.requests.recv().await else {
                    return;
                };
                self.enqueue(request);
            }
            match self.target() {
                Some(target) => self.query_host(target).await,
                None => self.wait_for_host().await,
            }
            self.drop_expired();
        }
    }

    fn enqueue(&mut self, request: PendingRequest) -> u64 {
        self.last_number += 1;
        self.pending.insert(self.last_number, request);
        self.last_number
    }

    fn drop_expired(&mut self) {
        let now = tokio::time::Instant::now();
        self.pending.retain(|_, request| request.expires_at > now);
    }

    /// The leader, if known; otherwise the next control host in rotation.
    fn target(&mut self) -> Option<Heartbeat> {
        let view = self.peers.view();
        let hosts: Vec<_> = view.with_role(Role::Control).collect();
        if let Some(leader) = hosts.iter().find(|m| Some(m.host) == self.leader) {
            return Some((*leader).clone());
        }
        self.rotation += 1;
        let index = self.rotation % hosts.len().max(1);
        hosts.get(index).map(|m| (*m).clone())
    }

    /// Waits before the next attempt, while no host can be reached.
    async fn wait_for_host(&mut self) {
        tokio::time::sleep(RETRY_DELAY).await;
        while let Ok(request) = self.requests.try_recv() {
            self.enqueue(request);
        }
    }

    /// Sends requests to one host until it is not the leader, stops answering or closes the
    /// connection.
    async fn query_host(&mut self, target: Heartbeat) {
        let host = target.host;
        let first_frame = Open::Claims { router: self.peers.me };
        let connection = match self.peers.links.is_cut_to(host) {
            true => None,
            false => self.peers.connect(target.peer, &first_frame).await.ok(),
        };
        let Some((mut reader, writer)) = connection else {
            self.leader = None;
            return self.wait_for_host().await;
        };
        let (out, batch) = BatchWriter::new(Some(self.peers.sent.clone()));
        let links = self.peers.links.clone();
        tokio::spawn(batch.run(writer, move || {
            let links = links.clone();
            async move { links.wait_until_clear_to(host).await }
        }));
        let (sender, mut answers) = mpsc::unbounded_channel();
        let reader_task = tokio::spawn(async move {
            while let Ok(batch) = reader.next::<Vec<ClaimAnswer>>().await {
                if sender.send(batch).is_err() {
                    return;
                }
            }
        });
        for (number, request) in &self.pending {
            // The reader notices a broken connection.
            let _ = out.send(request.to_message(*number).into());
        }
        let mut waiting_since = tokio::time::Instant::now();
        loop {
            let timeout_at = waiting_since + ANSWER_TIMEOUT;
            tokio::select! {
                request = self.requests.recv() => {
                    let Some(request) = request else { break };
                    if self.pending.is_empty() {
                        waiting_since = tokio::time::Instant::now();
                    }
                    let number = self.enqueue(request);
                    let _ = out.send(self.pending[&number].to_message(number).into());
                }
                batch = answers.recv() => {
                    let Some(batch) = batch else { break };
                    waiting_since = tokio::time::Instant::now();
                    if !self.on_answers(host, batch) {
                        break;
                    }
                }
                () = tokio::time::sleep_until(timeout_at) => {
                    let unanswered = self.pending.len();
                    self.drop_expired();
                    if unanswered > 0 {
                        log::info!(
                            "claim: no answer from control host {host} to {unanswered} requests"
                        );
                        self.leader = None;
                        break;
                    }
                    waiting_since = tokio::time::Instant::now();
                }
            }
        }
        reader_task.abort();
        if !self.pending.is_empty() {
            self.wait_for_host().await;
        }
    }

    /// Passes answers on to the callers. Returns whether the host is still the leader.
    fn on_answers(&mut self, host: HostId, batch: Vec<ClaimAnswer>) -> bool {
        let mut still_leads = true;
        for ClaimAnswer { number, reply } in batch {
            match reply {
                ClaimReply::Elsewhere(leader) => {
                    self.leader = leader;
                    still_leads = false;
                }
                ClaimReply::Uncertain => {
                    self.leader = None;
                    still_leads = false;
                }
                reply => {
                    self.leader = Some(host);
                    if let Some(request) = self.pending.remove(&number) {
                        // The caller may have timed out.
                        let _ = request.reply.send(reply);
                    }
                }
            }
        }
        still_leads
    }
}

impl PendingRequest {
    fn to_message(&self, number: u64) -> ClaimRequest {
        ClaimRequest { number, claim: self.claim.clone(), action: self.action.clone() }
    }
}
