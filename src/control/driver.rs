//! Drives the agreement: disk, network and state around the state machine.

mod group;

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use rand::RngExt;
use snafu::ResultExt;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::JoinHandle;

use super::courier::Couriers;
use super::format::{decode_command, decode_state, encode_command, encode_state};
use super::handle::{DriverStatus, Event, Handle, Leadership, NoLeader, ReplyTo};
use super::published::Published;
use super::state::{Command, State};
use crate::agree::{Entry, Envelope, NotLeader, Output, Payload, Persist, Replica, Role, StoreId};
use crate::error::{NetSnafu, Result};
use crate::peer::Peers;
use crate::settings::ControlSettings;
use crate::store::{Disk, DiskWriter, Found};

/// Events taken together, so that they share one sync.
const MAX_BATCH: usize = 1_024;
/// Events that may wait.
const INBOX: usize = 8_192;

/// Messages that promise what the disk has not yet taken.
struct Unsynced {
    job: u64,
    messages: Vec<Envelope>,
    last_entry: (u64, u64),
}

/// Starts the driver on what was found on disk.
pub(super) fn start(
    settings: &ControlSettings,
    peers: Arc<Peers>,
    published: Published,
    disk: Disk,
    found: Found,
) -> Result<(Handle, JoinHandle<Result<()>>)> {
    let store = disk.identity();
    let (disk, synced) =
        DiskWriter::start(disk).context(NetSnafu { what: "start the disk thread" })?;
    let (sender, events) = mpsc::channel(INBOX);
    let now = peers.clock.now();
    let seed = rand::rng().random();
    let state = decode_state(&found.snapshot.data, found.snapshot.index)?;
    let applied = found.snapshot.index;
    let mut replica = Replica::new(now, store, found.hard, found.snapshot, found.entries, seed);
    replica.set_max_voters(settings.most_voters());
    let status = watch::Sender::new(Leadership::of(&replica));
    let leadership = status.subscribe();
    let driver = Driver {
        store,
        most_voters: settings.most_voters(),
        unsynced: VecDeque::new(),
        published,
        leadership: status,
        couriers: Couriers::new(peers.clone()),
        peers,
        disk,
        replica,
        state,
        applied,
        snapshot_at: applied,
        snapshot_every: settings.snapshot_every,
        waiting: BTreeMap::new(),
        reads: BTreeMap::new(),
        next_read: 0,
    };
    driver.published.adopt(&driver.state);
    let task = tokio::spawn(driver.run(events, synced));
    Ok((Handle { store, events: sender, leadership }, task))
}

struct Driver {
    peers: Arc<Peers>,
    published: Published,
    leadership: watch::Sender<Leadership>,
    couriers: Couriers,
    store: StoreId,
    most_voters: usize,
    disk: DiskWriter,
    unsynced: VecDeque<Unsynced>,
    replica: Replica,
    state: State,
    applied: u64,
    snapshot_at: u64,
    snapshot_every: u64,
    waiting: BTreeMap<u64, (u64, ReplyTo)>,
    reads: BTreeMap<u64, oneshot::Sender<Result<(), NoLeader>>>,
    next_read: u64,
}

impl Driver {
    async fn run(
        mut self,
        mut events: mpsc::Receiver<Event>,
        mut synced: mpsc::UnboundedReceiver<u64>,
    ) -> Result<()> {
        loop {
            let now = self.peers.clock.now();
            let pause = self.replica.next_tick().saturating_sub(now).max(1);
            tokio::select! {
                event = events.recv() => {
                    let Some(first) = event else { return Ok(()) };
                    let mut batch = vec![first];
                    while let Some(more) = events.try_recv().ok().filter(|_| batch.len() < MAX_BATCH) {
                        batch.push(more);
                    }
                    self.events(batch)?;
                }
                job = synced.recv() => {
                    let Some(job) = job else { return Ok(()) };
                    self.synced(job)?;
                }
                () = tokio::time::sleep(Duration::from_millis(pause)) => {
                    let out = self.replica.tick(self.peers.clock.now());
                    self.carry_out(out)?;
                }
            }
            self.drop_waiting_unless_leader();
            self.publish_leadership();
        }
    }

    /// The disk has taken a job and all before it.
    fn synced(&mut self, job: u64) -> Result<()> {
        while let Some(unsynced) = self.unsynced.pop_front_if(|u| u.job <= job) {
            self.send_messages(unsynced.messages);
            let (index, term) = unsynced.last_entry;
            let out = self.replica.record_synced(index, term);
            self.carry_out(out)?;
        }
        Ok(())
    }

    fn publish_leadership(&mut self) {
        let now = Leadership::of(&self.replica);
        self.leadership.send_if_modified(|known| {
            let changed = *known != now;
            if changed {
                log::info!("control: term {}, leader {:?}", now.term, now.leader);
                *known = now;
            }
            changed
        });
    }

    fn send_messages(&mut self, messages: Vec<Envelope>) {
        if !messages.is_empty() {
            self.couriers.send(self.replica.members(), messages);
        }
    }

    /// Takes a batch: all proposals in it are appended, synced and sent together.
    fn events(&mut self, batch: Vec<Event>) -> Result<()> {
        let mut proposals = Vec::new();
        for event in batch {
            match event {
                Event::Propose(command, reply) => proposals.push((command, reply)),
                other => self.event(other)?,
            }
        }
        match proposals.is_empty() {
            true => Ok(()),
            false => self.propose(proposals),
        }
    }

    fn event(&mut self, event: Event) -> Result<()> {
        let now = self.peers.clock.now();
        match event {
            Event::Receive { envelope, host, peer } => {
                self.couriers.learn(envelope.from, host, peer);
                let out = self.replica.receive(now, envelope);
                self.carry_out(out)
            }
            Event::Propose(command, reply) => self.propose(vec![(command, reply)]),
            Event::Read(reply) => self.read(reply),
            Event::Found(members) => self.found(members),
            Event::Let { newcomer, reply } => self.let_in(newcomer, reply),
            Event::Join { newcomer, reply } => self.join(newcomer, reply),
            Event::Status(reply) => {
                let status = DriverStatus {
                    replica: self.replica.status(),
                    matched: self.replica.matched(),
                    claims: self.state.claims().len(),
                };
                // The asker may have left.
                let _ = reply.send(status);
                Ok(())
            }
            Event::Look(look, refuse) => {
                if self.replica.role() == Role::Leader {
                    look(&self.state);
                } else {
                    let leader = self.replica.leader();
                    // The asker may have left.
                    let _ = refuse.send(self.no_leader(NotLeader { leader }));
                }
                Ok(())
            }
        }
    }

    fn propose(&mut self, proposals: Vec<(Command, ReplyTo)>) -> Result<()> {
        let mut data = Vec::new();
        let mut replies = Vec::new();
        for (command, reply) in proposals {
            if let Ok(bytes) = encode_command(&command) {
                data.push(bytes);
                replies.push(reply);
            }
        }
        match self.replica.propose(self.peers.clock.now(), data) {
            Ok((indexes, out)) => {
                let term = self.replica.term();
                let waiting = replies.into_iter().map(|reply| (term, reply));
                self.waiting.extend(indexes.into_iter().zip(waiting));
                self.carry_out(out)
            }
            Err(not_leader) => {
                let why = self.no_leader(not_leader);
                for reply in replies {
                    // The asker may have left.
                    let _ = reply.send(Err(why));
                }
                Ok(())
            }
        }
    }

    fn no_leader(&self, not_leader: NotLeader) -> NoLeader {
        let members = self.replica.members();
        let leader = members.iter().find(|m| Some(m.store) == not_leader.leader);
        leader.map_or(NoLeader::Unknown, |m| NoLeader::Elsewhere(m.host))
    }

    fn read(&mut self, reply: oneshot::Sender<Result<(), NoLeader>>) -> Result<()> {
        self.next_read += 1;
        let token = self.next_read;
        match self.replica.read(self.peers.clock.now(), token) {
            Ok(out) => {
                self.reads.insert(token, reply);
                self.carry_out(out)
            }
            Err(not_leader) => {
                // The asker may have left.
                let _ = reply.send(Err(self.no_leader(not_leader)));
                Ok(())
            }
        }
    }

    fn carry_out(&mut self, out: Output) -> Result<()> {
        let (held, at_once) = out.messages.into_iter().partition(Envelope::needs_sync);
        self.send_messages(at_once);
        self.persist(out.persist, held);
        if let Some(snapshot) = out.restore {
            self.state = decode_state(&snapshot.data, snapshot.index)?;
            self.applied = snapshot.index;
            self.snapshot_at = snapshot.index;
            self.published.adopt(&self.state);
        }
        self.apply(out.committed)?;
        for token in out.reads {
            if let Some(reply) = self.reads.remove(&token) {
                // The asker may have left.
                let _ = reply.send(Ok(()));
            }
        }
        self.snapshot_if_due()
    }

    /// Queues records for the disk, and the messages that promise them behind.
    fn persist(&mut self, records: Vec<Persist>, messages: Vec<Envelope>) {
        let last_entry = self.replica.last_entry();
        if !records.is_empty() {
            let job = self.disk.write(records);
            self.unsynced.push_back(Unsynced { job, messages, last_entry });
            return;
        }
        match self.unsynced.back_mut() {
            Some(last) => last.messages.extend(messages),
            None => self.send_messages(messages),
        }
    }

    fn apply(&mut self, entries: Vec<Entry>) -> Result<()> {
        let before = self.state.versions();
        for entry in entries {
            self.applied = entry.index;
            let Payload::Data(data) = &entry.payload else {
                continue;
            };
            let reply = self.state.apply(decode_command(data, entry.index)?);
            if let Some((term, waiting)) = self.waiting.remove(&entry.index) {
                let answer = match term == entry.term {
                    true => Ok(reply),
                    false => Err(NoLeader::Uncertain),
                };
                // The asker may have left.
                let _ = waiting.send(answer);
            }
        }
        if self.state.versions() != before {
            self.published.adopt(&self.state);
        }
        Ok(())
    }

    /// Writes a snapshot when enough entries have come and the log has grown
    /// past the last one, so that the cost of snapshots stays a fraction.
    fn snapshot_if_due(&mut self) -> Result<()> {
        let entries = self.applied - self.snapshot_at;
        if entries < self.snapshot_every || self.disk.log_bytes() < self.disk.snapshot_bytes() {
            return Ok(());
        }
        let Ok(data) = encode_state(&self.state) else {
            return Ok(());
        };
        self.snapshot_at = self.applied;
        log::info!("store: snapshot at entry {}, {} bytes", self.applied, data.len());
        let out = self.replica.compact(self.applied, data);
        self.persist(out.persist, Vec::new());
        Ok(())
    }

    /// Those who wait for this store's decisions are told when it leads no more.
    fn drop_waiting_unless_leader(&mut self) {
        if self.waiting.is_empty() && self.reads.is_empty() {
            return;
        }
        if self.replica.role() == Role::Leader {
            return;
        }
        for (_, (_, reply)) in std::mem::take(&mut self.waiting) {
            // The asker may have left.
            let _ = reply.send(Err(NoLeader::Uncertain));
        }
        for (_, reply) in std::mem::take(&mut self.reads) {
            let _ = reply.send(Err(NoLeader::Uncertain));
        }
    }
}
