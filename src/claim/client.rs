//! A router's connection to the leader's table of claims.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::{mpsc, oneshot};

use super::table::{Claim, Claimed, Settlement};
use crate::control::{ClaimAction, ClaimAnswer, ClaimOutcome, ClaimRequest};
use crate::peer::Peers;
use crate::wire::{BatchWriter, Heartbeat, HostId, Open, Role};

/// How long to wait before asking again when there is no leader.
const PAUSE: Duration = Duration::from_millis(50);
/// How long a connection may answer nothing while something is asked.
const SILENCE: Duration = Duration::from_millis(1_500);
/// How long a settlement is repeated until it is taken.
const SETTLE_FOR: Duration = Duration::from_secs(600);

struct Asking {
    claim: Claim,
    ask: ClaimAction,
    until: tokio::time::Instant,
    reply: oneshot::Sender<ClaimOutcome>,
}

/// Asks the leader about claims; asks again where an answer was lost.
#[derive(Clone, Debug)]
pub struct Claims(mpsc::UnboundedSender<Asking>);

impl Claims {
    /// Starts the connection's task; it connects at the first request.
    pub fn start(peers: Arc<Peers>) -> Claims {
        let (sender, requests) = mpsc::unbounded_channel();
        let task = Task { peers, requests, open: BTreeMap::new(), next: 0, leader: None, turn: 0 };
        tokio::spawn(task.run());
        Claims(sender)
    }

    /// How a key stands, without claiming it; none when nobody says in time.
    pub async fn look(&self, claim: Claim, limit: Duration) -> Option<Claimed> {
        match self.ask(claim, ClaimAction::Lookup, limit).await? {
            ClaimOutcome::Claimed(claimed) => Some(claimed),
            _ => None,
        }
    }

    /// Claims a key. None when the claim was not decided in time; it is then
    /// given back in the background, and its call must not run.
    pub async fn claim(&self, claim: Claim, limit: Duration) -> Option<Claimed> {
        match self.ask(claim.clone(), ClaimAction::Claim, limit).await {
            Some(ClaimOutcome::Claimed(claimed)) => Some(claimed),
            _ => {
                drop(self.settle(claim, Settlement::NotRun));
                None
            }
        }
    }

    /// Settles a claim and waits until that is taken, at most for `limit`; after
    /// it the settling goes on in the background.
    pub async fn settled(&self, claim: Claim, settlement: Settlement, limit: Duration) {
        let taken = self.settle(claim, settlement);
        let _ = tokio::time::timeout(limit, taken).await;
    }

    /// Settles a claim in the background, until it is taken.
    fn settle(&self, claim: Claim, settlement: Settlement) -> oneshot::Receiver<ClaimOutcome> {
        let (reply, taken) = oneshot::channel();
        let until = tokio::time::Instant::now() + SETTLE_FOR;
        let ask = ClaimAction::Settle(settlement);
        // The task runs as long as the process.
        let _ = self.0.send(Asking { claim, ask, until, reply });
        taken
    }

    async fn ask(&self, claim: Claim, ask: ClaimAction, limit: Duration) -> Option<ClaimOutcome> {
        let (reply, receiver) = oneshot::channel();
        let until = tokio::time::Instant::now() + limit;
        self.0.send(Asking { claim, ask, until, reply }).ok()?;
        tokio::time::timeout(limit, receiver).await.ok()?.ok()
    }
}

struct Task {
    peers: Arc<Peers>,
    requests: mpsc::UnboundedReceiver<Asking>,
    open: BTreeMap<u64, Asking>,
    next: u64,
    leader: Option<HostId>,
    turn: usize,
}

impl Task {
    async fn run(mut self) {
        loop {
            if self.open.is_empty() {
                let Some(asking) = self.requests.recv().await else {
                    return;
                };
                self.take(asking);
            }
            match self.target() {
                Some(target) => self.converse(target).await,
                None => self.wait().await,
            }
            self.drop_expired();
        }
    }

    fn take(&mut self, asking: Asking) -> u64 {
        self.next += 1;
        self.open.insert(self.next, asking);
        self.next
    }

    fn drop_expired(&mut self) {
        let now = tokio::time::Instant::now();
        self.open.retain(|_, asking| asking.until > now);
    }

    /// The leader, where known; otherwise the control hosts in turn.
    fn target(&mut self) -> Option<Heartbeat> {
        let view = self.peers.view();
        let control: Vec<_> = view.with_role(Role::Control).collect();
        if let Some(leader) = control.iter().find(|m| Some(m.host) == self.leader) {
            return Some((*leader).clone());
        }
        self.turn += 1;
        let at = self.turn % control.len().max(1);
        control.get(at).map(|m| (*m).clone())
    }

    /// Nobody can be asked: requests wait until they expire.
    async fn wait(&mut self) {
        tokio::time::sleep(PAUSE).await;
        while let Ok(asking) = self.requests.try_recv() {
            self.take(asking);
        }
    }

    /// Asks one host until it does not lead, falls silent or breaks off.
    async fn converse(&mut self, target: Heartbeat) {
        let host = target.host;
        let open = Open::Claims { router: self.peers.me };
        let connected = match self.peers.links.is_cut(host) {
            true => None,
            false => self.peers.connect(target.peer, &open).await.ok(),
        };
        let Some((mut reader, writer)) = connected else {
            self.leader = None;
            return self.wait().await;
        };
        let (out, batch) = BatchWriter::new(Some(self.peers.sent.clone()));
        let links = self.peers.links.clone();
        tokio::spawn(batch.run(writer, move || {
            let links = links.clone();
            async move { links.clear_to(host).await }
        }));
        let (sender, mut answers) = mpsc::unbounded_channel();
        let reading = tokio::spawn(async move {
            while let Ok(batch) = reader.next::<Vec<ClaimAnswer>>().await {
                if sender.send(batch).is_err() {
                    return;
                }
            }
        });
        for (number, asking) in &self.open {
            // A broken connection is noticed by its reader.
            let _ = out.send(asking.request(*number).into());
        }
        let mut heard = tokio::time::Instant::now();
        loop {
            let silent_at = heard + SILENCE;
            tokio::select! {
                asking = self.requests.recv() => {
                    let Some(asking) = asking else { break };
                    if self.open.is_empty() {
                        heard = tokio::time::Instant::now();
                    }
                    let number = self.take(asking);
                    let _ = out.send(self.open[&number].request(number).into());
                }
                batch = answers.recv() => {
                    let Some(batch) = batch else { break };
                    heard = tokio::time::Instant::now();
                    if !self.answered(host, batch) {
                        break;
                    }
                }
                () = tokio::time::sleep_until(silent_at) => {
                    let unanswered = self.open.len();
                    self.drop_expired();
                    if unanswered > 0 {
                        log::info!(
                            "claim: control host {host} is silent, {unanswered} requests unanswered"
                        );
                        self.leader = None;
                        break;
                    }
                    heard = tokio::time::Instant::now();
                }
            }
        }
        reading.abort();
        if !self.open.is_empty() {
            self.wait().await;
        }
    }

    /// Whether the host that answered still leads.
    fn answered(&mut self, host: HostId, batch: Vec<ClaimAnswer>) -> bool {
        let mut leads = true;
        for ClaimAnswer { number, outcome } in batch {
            match outcome {
                ClaimOutcome::Elsewhere(leader) => {
                    self.leader = leader;
                    leads = false;
                }
                ClaimOutcome::Uncertain => {
                    self.leader = None;
                    leads = false;
                }
                outcome => {
                    self.leader = Some(host);
                    if let Some(asking) = self.open.remove(&number) {
                        // The asker may have left.
                        let _ = asking.reply.send(outcome);
                    }
                }
            }
        }
        leads
    }
}

impl Asking {
    fn request(&self, number: u64) -> ClaimRequest {
        ClaimRequest { number, claim: self.claim.clone(), action: self.ask.clone() }
    }
}
