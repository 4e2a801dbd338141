//! Runs the consensus replica: feeds it events, and carries out what it returns on the disk,
//! the network and the replicated state.

mod group;

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use rand::RngExt;
use snafu::ResultExt;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::JoinHandle;

use super::format::{decode_command, decode_state, encode_command, encode_state};
use super::handle::{DriverStatus, Event, Handle, Leadership, NoLeader, ReplyTo};
use super::published::PublishedState;
use super::state::{Command, State};
use super::transport::Transport;
use crate::agree::{Entry, Envelope, NotLeader, Output, Payload, Persist, Replica, Role, StoreId};
use crate::error::{NetSnafu, Result};
use crate::peer::Peers;
use crate::settings::ControlSettings;
use crate::store::{Disk, DiskWriter, RecoveredState};

/// Maximum number of events handled in one batch, whose proposals share one sync to disk.
const MAX_BATCH: usize = 1_024;
/// Maximum number of events that may be queued for the driver.
const MAX_QUEUED_EVENTS: usize = 8_192;

/// Messages that may be sent only once a disk job is synced, because they acknowledge what
/// that job writes.
struct Unsynced {
    job: u64,
    messages: Vec<Envelope>,
    /// Index and term of the last log entry once the job is synced.
    last_entry: (u64, u64),
}

/// Starts the driver with what was read from the data folder.
pub(super) fn start(
    settings: &ControlSettings,
    peers: Arc<Peers>,
    published: PublishedState,
    disk: Disk,
    found: RecoveredState,
) -> Result<(Handle, JoinHandle<Result<()>>)> {
    let store = disk.identity();
    let (disk, synced) =
        DiskWriter::start(disk).context(NetSnafu { what: "start the disk thread" })?;
    let (sender, events) = mpsc::channel(MAX_QUEUED_EVENTS);
    let now = peers.clock.now();
    let seed = rand::rng().random();
    let state = decode_state(&found.snapshot.data, found.snapshot.index)?;
    let applied_index = found.snapshot.index;
    let mut replica = Replica::new(now, store, found.hard, found.snapshot, found.entries, seed);
    replica.set_max_voters(settings.max_voters());
    let status = watch::Sender::new(Leadership::of(&replica));
    let leadership = status.subscribe();
    let driver = Driver {
        store,
        max_voters: settings.max_voters(),
        unsynced: VecDeque::new(),
        published,
        leadership: status,
        transport: Transport::new(peers.clone()),
        peers,
        disk,
        replica,
        state,
        applied_index,
        snapshot_index: applied_index,
        snapshot_job: None,
        snapshot_every: settings.snapshot_every,
        snapshot_every_bytes: settings.snapshot_every_bytes,
        pending_proposals: BTreeMap::new(),
        pending_reads: BTreeMap::new(),
        last_read_token: 0,
    };
    log::info!(
        "control: starts in term {} with entries up to {}, applied up to {}, routing version {}",
        driver.replica.term(),
        driver.replica.last_entry().0,
        driver.applied_index,
        driver.state.document_version(),
    );
    driver.published.update(&driver.state);
    let task = tokio::spawn(driver.run(events, synced));
    Ok((Handle { store, events: sender, leadership }, task))
}

struct Driver {
    peers: Arc<Peers>,
    published: PublishedState,
    leadership: watch::Sender<Leadership>,
    transport: Transport,
    store: StoreId,
    max_voters: usize,
    disk: DiskWriter,
    unsynced: VecDeque<Unsynced>,
    replica: Replica,
    state: State,
    /// Index of the last entry applied to `state`.
    applied_index: u64,
    /// Index of the last entry in the newest snapshot.
    snapshot_index: u64,
    /// The disk job that writes a snapshot, until it is synced.
    snapshot_job: Option<u64>,
    /// Entries after which a snapshot is due if the log is at least as large as the last one.
    snapshot_every: u64,
    /// Bytes of log after which a snapshot is due if the last one is not larger.
    snapshot_every_bytes: u64,
    /// Proposals made here that are not yet applied, by index: term and reply channel.
    pending_proposals: BTreeMap<u64, (u64, ReplyTo)>,
    /// Reads that are not yet confirmed, by token.
    pending_reads: BTreeMap<u64, oneshot::Sender<Result<(), NoLeader>>>,
    /// Token of the newest read.
    last_read_token: u64,
}

impl Driver {
    async fn run(
        mut self,
        mut events: mpsc::Receiver<Event>,
        mut synced: mpsc::UnboundedReceiver<u64>,
    ) -> Result<()> {
        loop {
            let now = self.peers.clock.now();
            if now >= self.replica.next_tick() {
                // Not left to the timer below, which steady events start again and again.
                let out = self.replica.tick(now);
                self.execute(out)?;
                self.fail_pending_unless_leader();
                self.publish_leadership();
            }
            let pause = self.replica.next_tick().saturating_sub(now).max(1);
            tokio::select! {
                event = events.recv() => {
                    let Some(first) = event else { return Ok(()) };
                    let mut batch = vec![first];
                    while let Some(more) = events.try_recv().ok().filter(|_| batch.len() < MAX_BATCH) {
                        batch.push(more);
                    }
                    self.handle_events(batch)?;
                }
                job = synced.recv() => {
                    let Some(job) = job else { return Ok(()) };
                    self.on_synced(job)?;
                }
                () = tokio::time::sleep(Duration::from_millis(pause)) => {
                    let out = self.replica.tick(self.peers.clock.now());
                    self.execute(out)?;
                }
            }
            self.fail_pending_unless_leader();
            self.publish_leadership();
        }
    }

    /// Handles that a disk job and all jobs before it are synced.
    fn on_synced(&mut self, job: u64) -> Result<()> {
        self.snapshot_job.take_if(|writing| *writing <= job);
        while let Some(unsynced) = self.unsynced.pop_front_if(|u| u.job <= job) {
            self.send_messages(unsynced.messages);
            let (index, term) = unsynced.last_entry;
            let out = self.replica.record_synced(index, term);
            self.execute(out)?;
        }
        Ok(())
    }

    fn publish_leadership(&mut self) {
        let current = Leadership::of(&self.replica);
        self.leadership.send_if_modified(|published| {
            let changed = *published != current;
            if changed {
                log::info!(
                    "control: term {}, leader {:?}, caught up {}, hosts {:?}",
                    current.term,
                    current.leader,
                    current.has_caught_up,
                    current.hosts.iter().map(|(host, _)| host.0).collect::<Vec<_>>(),
                );
                *published = current;
            }
            changed
        });
    }

    fn send_messages(&mut self, messages: Vec<Envelope>) {
        if !messages.is_empty() {
            self.transport.send(self.replica.members(), messages);
        }
    }

    /// Handles a batch of events. All its proposals are appended, synced and sent together,
    /// after the other events.
    fn handle_events(&mut self, batch: Vec<Event>) -> Result<()> {
        let mut proposals = Vec::new();
        for event in batch {
            match event {
                Event::Propose(command, reply) => proposals.push((command, reply)),
                other => self.handle_event(other)?,
            }
        }
        match proposals.is_empty() {
            true => Ok(()),
            false => self.propose(proposals),
        }
    }

    fn handle_event(&mut self, event: Event) -> Result<()> {
        let now = self.peers.clock.now();
        match event {
            Event::Receive { envelope, host, peer } => {
                self.transport.record_address(envelope.from, host, peer);
                let out = self.replica.receive(now, envelope);
                self.execute(out)
            }
            Event::Propose(command, reply) => self.propose(vec![(command, reply)]),
            Event::Read(reply) => self.read(reply),
            Event::Bootstrap(members) => self.bootstrap(members),
            Event::AddMember { new_member, reply } => self.add_member(new_member, reply),
            Event::Join { new_member, reply } => self.join(new_member, reply),
            Event::Leave { store, reply } => self.leave(store, reply),
            Event::Status(reply) => {
                let status = DriverStatus {
                    replica: self.replica.status(),
                    matched: self.replica.matched(),
                    claims: self.state.claims().len(),
                };
                // The receiver is dropped if the caller has given up.
                let _ = reply.send(status);
                Ok(())
            }
            Event::Inspect(inspect, refuse) => {
                if self.replica.role() == Role::Leader {
                    inspect(&self.state);
                } else {
                    let leader = self.replica.leader();
                    // The receiver is dropped if the caller has given up.
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
                let pending = replies.into_iter().map(|reply| (term, reply));
                self.pending_proposals.extend(indexes.into_iter().zip(pending));
                self.execute(out)
            }
            Err(not_leader) => {
                let error = self.no_leader(not_leader);
                for reply in replies {
                    // The receiver is dropped if the caller has given up.
                    let _ = reply.send(Err(error));
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
        self.last_read_token += 1;
        let token = self.last_read_token;
        match self.replica.read(self.peers.clock.now(), token) {
            Ok(out) => {
                self.pending_reads.insert(token, reply);
                self.execute(out)
            }
            Err(not_leader) => {
                // The receiver is dropped if the caller has given up.
                let _ = reply.send(Err(self.no_leader(not_leader)));
                Ok(())
            }
        }
    }

    fn execute(&mut self, out: Output) -> Result<()> {
        let (after_sync, immediate) = out.messages.into_iter().partition(Envelope::needs_sync);
        self.send_messages(immediate);
        self.persist(out.persist, after_sync);
        if let Some(snapshot) = out.restore {
            self.state = decode_state(&snapshot.data, snapshot.index)?;
            self.applied_index = snapshot.index;
            self.snapshot_index = snapshot.index;
            self.published.update(&self.state);
        }
        self.apply(out.committed)?;
        for token in out.reads {
            if let Some(reply) = self.pending_reads.remove(&token) {
                // The receiver is dropped if the caller has given up.
                let _ = reply.send(Ok(()));
            }
        }
        self.snapshot_if_due()
    }

    /// Queues records for the disk, and the messages that must not be sent before they are
    /// synced. Returns the job that writes the records, if there are any.
    fn persist(&mut self, records: Vec<Persist>, messages: Vec<Envelope>) -> Option<u64> {
        let last_entry = self.replica.last_entry();
        if !records.is_empty() {
            let job = self.disk.write(records);
            self.unsynced.push_back(Unsynced { job, messages, last_entry });
            return Some(job);
        }
        match self.unsynced.back_mut() {
            Some(last) => last.messages.extend(messages),
            None => self.send_messages(messages),
        }
        None
    }

    fn apply(&mut self, entries: Vec<Entry>) -> Result<()> {
        let before = self.state.versions();
        for entry in entries {
            self.applied_index = entry.index;
            let Payload::Data(data) = &entry.payload else {
                continue;
            };
            let reply = self.state.apply(decode_command(data, entry.index)?);
            if let Some((term, reply_to)) = self.pending_proposals.remove(&entry.index) {
                let answer = match term == entry.term {
                    true => Ok(reply),
                    false => Err(NoLeader::Uncertain),
                };
                // The receiver is dropped if the caller has given up.
                let _ = reply_to.send(answer);
            }
        }
        if self.state.versions() != before {
            self.published.update(&self.state);
        }
        Ok(())
    }

    /// Writes a snapshot when the log is long or large and at least as large as the last
    /// snapshot, so that writing snapshots costs at most a constant factor.
    fn snapshot_if_due(&mut self) -> Result<()> {
        let entries = self.applied_index - self.snapshot_index;
        let log_bytes = self.disk.log_bytes();
        let is_long = entries >= self.snapshot_every;
        let is_large = entries > 0 && log_bytes >= self.snapshot_every_bytes;
        // The size of the log is that of before until the snapshot is written.
        let is_written = self.snapshot_job.is_none();
        if !is_written || !(is_long || is_large) || log_bytes < self.disk.snapshot_bytes() {
            return Ok(());
        }
        let Ok(data) = encode_state(&self.state) else {
            return Ok(());
        };
        self.snapshot_index = self.applied_index;
        log::info!("store: snapshot at entry {}, {} bytes", self.applied_index, data.len());
        let out = self.replica.compact(self.applied_index, data);
        self.snapshot_job = self.persist(out.persist, Vec::new());
        Ok(())
    }

    /// Answers pending proposals and reads as uncertain when this store no longer leads.
    fn fail_pending_unless_leader(&mut self) {
        if self.pending_proposals.is_empty() && self.pending_reads.is_empty() {
            return;
        }
        if self.replica.role() == Role::Leader {
            return;
        }
        for (_, (_, reply)) in std::mem::take(&mut self.pending_proposals) {
            // The receiver is dropped if the caller has given up.
            let _ = reply.send(Err(NoLeader::Uncertain));
        }
        for (_, reply) in std::mem::take(&mut self.pending_reads) {
            let _ = reply.send(Err(NoLeader::Uncertain));
        }
    }
}
