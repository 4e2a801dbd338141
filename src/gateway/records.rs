//! Stores and finds records of streams, here and at a few other routers.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use arc_swap::ArcSwap;
use rand::RngExt;
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;

use crate::dispatch::Millis;
use crate::peer::{Peers, StreamDatagram};
use crate::resumption::{
    KnownStream, ListedRouter, RecordMessage, RecordTable, RouterDirectory, StreamKey,
    replicas_to_ask, replicas_to_store,
};
use crate::wire::HostId;

/// How long the first event of a stream waits until another router has the record. Beyond that,
/// a stream that cannot be resumed is better than one that starts late.
const MAX_STORE_WAIT: Duration = Duration::from_millis(50);
/// Milliseconds for which streams do not wait after no router has acknowledged a record.
const UNACKNOWLEDGED_PAUSE_MS: Millis = 1_000;
/// Time after which an unanswered datagram is sent again: it may have been lost.
const RESEND_AFTER: Duration = Duration::from_millis(60);
/// Time after which a router that has not acknowledged a record is replaced by another.
const STORE_TIMEOUT: Duration = Duration::from_millis(300);
/// How long to wait for what other routers know of a stream.
const FIND_TIMEOUT: Duration = Duration::from_millis(250);
/// Milliseconds for which a router that did not answer is passed over.
const SILENT_MS: Millis = 2_000;
/// Records that are handed over in a planned stop: the ones stored last.
const MAX_RECORDS_HANDED_OVER: usize = 4_000;
/// Records handed over at a time, and the pause after them, so that receivers keep up.
const HANDOVER_BATCH: usize = 100;
const HANDOVER_PAUSE: Duration = Duration::from_millis(10);

/// An answer of another router to a request about a record.
#[derive(Debug)]
enum Answer {
    Stored,
    Found(Option<KnownStream>),
}

type Answers = mpsc::UnboundedReceiver<(HostId, Answer)>;

/// The result of a search for the record of a stream.
#[derive(Debug)]
pub(super) enum Search {
    /// What is known of the stream.
    Found(KnownStream),
    /// No router that was asked has a record of it.
    NotFound {
        /// Number of routers asked.
        asked: usize,
        /// Number of them that answered.
        answered: usize,
    },
}

/// The records of streams that this router keeps, and its access to those of others.
#[derive(Debug)]
pub(super) struct StreamRecords {
    peers: Arc<Peers>,
    hall: String,
    directory: ArcSwap<RouterDirectory>,
    table: Mutex<RecordTable>,
    /// Receivers of answers, by the number of the request.
    pending: Mutex<HashMap<u32, mpsc::UnboundedSender<(HostId, Answer)>>>,
    next_number: AtomicU32,
    /// Until when routers that did not answer are passed over.
    silent_until: Mutex<HashMap<HostId, Millis>>,
    /// Until when streams do not wait for an acknowledgement.
    no_wait_until: AtomicU64,
}

/// A request to other routers; its answers are received until it is dropped.
struct Request<'a> {
    records: &'a StreamRecords,
    number: u32,
    answers: Answers,
}

impl Drop for Request<'_> {
    fn drop(&mut self) {
        lock(&self.records.pending).remove(&self.number);
    }
}

impl StreamRecords {
    /// The records of a router in the data hall `hall`.
    pub fn new(peers: Arc<Peers>, hall: String) -> Arc<StreamRecords> {
        Arc::new(StreamRecords {
            peers,
            hall,
            directory: ArcSwap::default(),
            table: Mutex::default(),
            pending: Mutex::default(),
            // Late answers to the process before must not have the numbers of this one.
            next_number: AtomicU32::new(rand::rng().random()),
            silent_until: Mutex::default(),
            no_wait_until: AtomicU64::new(0),
        })
    }

    /// The routers of the fleet, as last received from a control host.
    pub fn directory(&self) -> Arc<RouterDirectory> {
        self.directory.load_full()
    }

    /// Replaces the routers of the fleet.
    pub fn set_directory(&self, directory: RouterDirectory) {
        self.directory.store(Arc::new(directory));
    }

    /// Number of records kept here.
    pub fn len(&self) -> usize {
        lock(&self.table).len()
    }

    /// Stores what is known of a stream, here and at other routers. Returns once one of them has
    /// it, or after [`MAX_STORE_WAIT`]; the rest goes on in the background.
    pub async fn store(self: &Arc<Self>, key: StreamKey, stream: KnownStream) {
        let now = self.peers.clock.now();
        lock(&self.table).store(now, key, stream.clone());
        if !stream.record.is_storable() {
            return;
        }
        let (acknowledged, first_acknowledgement) = oneshot::channel();
        let replication = self.clone().replicate(key, stream, acknowledged);
        tokio::spawn(replication);
        if now >= self.no_wait_until.load(Ordering::Relaxed) {
            // Fails if no router acknowledges it.
            let _ = tokio::time::timeout(MAX_STORE_WAIT, first_acknowledgement).await;
        }
    }

    /// Sends a record to the routers that should keep it, and to others in place of those that
    /// do not answer.
    async fn replicate(
        self: Arc<Self>,
        key: StreamKey,
        stream: KnownStream,
        acknowledged: oneshot::Sender<()>,
    ) {
        let mut acknowledged = Some(acknowledged);
        let mut holders: Vec<HostId> = Vec::new();
        for _ in 0..2 {
            let directory = self.directory();
            let is_usable = |host| !self.is_silent(host);
            let mut replicas =
                replicas_to_store(&directory, key, self.peers.me, &self.hall, is_usable);
            replicas.retain(|replica| !holders.contains(&replica.host));
            if replicas.is_empty() {
                break;
            }
            let mut request = self.begin_request();
            let number = request.number;
            let message = RecordMessage::Store { number, key, stream: stream.clone() };
            let on_answer = |host, _| {
                holders.push(host);
                if let Some(acknowledged) = acknowledged.take() {
                    // The stream may have gone on without waiting.
                    let _ = acknowledged.send(());
                }
                None::<()>
            };
            if self.exchange(&mut request, &replicas, &message, STORE_TIMEOUT, on_answer).await
                == Exchange::AllAnswered
            {
                break;
            }
        }
        if holders.is_empty() {
            let until = self.peers.clock.now() + UNACKNOWLEDGED_PAUSE_MS;
            self.no_wait_until.store(until, Ordering::Relaxed);
        }
    }

    /// Finds what is known of a stream.
    pub async fn find(&self, key: StreamKey) -> Search {
        let now = self.peers.clock.now();
        if let Some(stream) = lock(&self.table).find(now, key) {
            return Search::Found(stream);
        }
        let replicas = replicas_to_ask(&self.directory(), key, self.peers.me, &self.hall);
        let mut request = self.begin_request();
        let message = RecordMessage::Find { number: request.number, key };
        let mut answered = 0;
        let on_answer = |_, answer| {
            answered += 1;
            match answer {
                Answer::Found(stream) => stream,
                Answer::Stored => None,
            }
        };
        match self.exchange(&mut request, &replicas, &message, FIND_TIMEOUT, on_answer).await {
            Exchange::Ended(stream) => Search::Found(stream),
            _ => Search::NotFound { asked: replicas.len(), answered },
        }
    }

    /// Sends a message to routers and receives their answers, until `on_answer` returns a result
    /// or all have answered. Routers that do not answer in time are passed over from then on;
    /// the answers of those that were silent already are not waited for.
    async fn exchange<T: PartialEq>(
        &self,
        request: &mut Request<'_>,
        to: &[ListedRouter],
        message: &RecordMessage,
        timeout: Duration,
        mut on_answer: impl FnMut(HostId, Answer) -> Option<T>,
    ) -> Exchange<T> {
        self.send_all(to, message).await;
        let started = Instant::now();
        let mut waiting: Vec<ListedRouter> = to.to_vec();
        waiting.retain(|router| !self.is_silent(router.host));
        let mut is_resent = false;
        while !waiting.is_empty() {
            let until = started + if is_resent { timeout } else { RESEND_AFTER };
            match tokio::time::timeout_at(until, request.answers.recv()).await {
                Ok(Some((host, answer))) => {
                    waiting.retain(|router| router.host != host);
                    lock(&self.silent_until).remove(&host);
                    if let Some(result) = on_answer(host, answer) {
                        return Exchange::Ended(result);
                    }
                }
                Ok(None) => break,
                Err(_) if !is_resent => {
                    is_resent = true;
                    self.send_all(&waiting, message).await;
                }
                Err(_) => {
                    self.record_silent(&waiting);
                    return Exchange::TimedOut;
                }
            }
        }
        Exchange::AllAnswered
    }

    async fn send_all(&self, to: &[ListedRouter], message: &RecordMessage) {
        for router in to {
            self.peers.send_stream_datagram((router.host, router.peer), message).await;
        }
    }

    fn begin_request(&self) -> Request<'_> {
        let number = self.next_number.fetch_add(1, Ordering::Relaxed);
        let (sender, answers) = mpsc::unbounded_channel();
        lock(&self.pending).insert(number, sender);
        Request { records: self, number, answers }
    }

    fn is_silent(&self, host: HostId) -> bool {
        let now = self.peers.clock.now();
        lock(&self.silent_until).get(&host).is_some_and(|until| now < *until)
    }

    fn record_silent(&self, routers: &[ListedRouter]) {
        let now = self.peers.clock.now();
        let mut silent_until = lock(&self.silent_until);
        silent_until.retain(|_, until| now < *until);
        silent_until.extend(routers.iter().map(|router| (router.host, now + SILENT_MS)));
    }

    /// Processes datagrams of other routers.
    pub async fn receive(self: Arc<Self>, mut datagrams: mpsc::Receiver<StreamDatagram>) {
        while let Some(StreamDatagram { host, from, message }) = datagrams.recv().await {
            let now = self.peers.clock.now();
            let answer = match message {
                RecordMessage::Store { number, key, stream } => {
                    lock(&self.table).store(now, key, stream);
                    RecordMessage::Stored { number }
                }
                RecordMessage::Find { number, key } => {
                    let stream = lock(&self.table).find(now, key);
                    RecordMessage::Found { number, stream }
                }
                RecordMessage::Stored { number } => {
                    self.deliver(number, host, Answer::Stored);
                    continue;
                }
                RecordMessage::Found { number, stream } => {
                    self.deliver(number, host, Answer::Found(stream));
                    continue;
                }
            };
            self.peers.send_stream_datagram((host, from), &answer).await;
        }
    }

    fn deliver(&self, number: u32, host: HostId, answer: Answer) {
        if let Some(pending) = lock(&self.pending).get(&number) {
            // The request may end at this moment.
            let _ = pending.send((host, answer));
        }
    }

    /// Sends the latest records to routers that will keep them when this one has stopped.
    pub async fn hand_over(&self) {
        let now = self.peers.clock.now();
        let keys: Vec<_> = {
            let table = lock(&self.table);
            table.latest_keys().take(MAX_RECORDS_HANDED_OVER).collect()
        };
        log::info!("gateway: hands over {} records of streams", keys.len());
        for batch in keys.chunks(HANDOVER_BATCH) {
            for key in batch {
                let Some(stream) = lock(&self.table).find(now, *key) else { continue };
                let directory = self.directory();
                let is_usable = |host| !self.is_silent(host);
                let replicas =
                    replicas_to_store(&directory, *key, self.peers.me, &self.hall, is_usable);
                // Nobody waits for the answer.
                let number = self.next_number.fetch_add(1, Ordering::Relaxed);
                let message = RecordMessage::Store { number, key: *key, stream };
                self.send_all(&replicas, &message).await;
            }
            tokio::time::sleep(HANDOVER_PAUSE).await;
        }
    }
}

/// How an exchange with other routers ended.
#[derive(Debug, PartialEq, Eq)]
enum Exchange<T> {
    /// An answer ended it.
    Ended(T),
    /// All routers answered.
    AllAnswered,
    /// Some did not.
    TimedOut,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
