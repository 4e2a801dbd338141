//! One session with a placer, and the questions that it answers.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::sync::oneshot;
use tokio_util::sync::CancellationToken;

use super::{PlacementClient, lock};
use crate::error::{Error, Result};
use crate::placement::message::{Completion, FromPlacer, PlacementRequest, ToPlacer};
use crate::wire::{BatchSender, BatchWriter, HostId, Open, Traffic};

/// How long to wait before a lost session is opened again.
const PAUSE: Duration = Duration::from_millis(200);

pub(super) type Waiting = Arc<Mutex<HashMap<u64, oneshot::Sender<FromPlacer>>>>;

/// A session with a placer.
#[derive(Clone, Debug)]
pub(super) struct Session {
    pub out: BatchSender<ToPlacer>,
    pub waiting: Waiting,
    /// Ends it, so that another one is opened.
    pub dead: CancellationToken,
}

/// A request that a placer was asked to place. Dropped before it is answered, it
/// is taken back: a place that comes later would be held for nobody.
pub(super) struct Question<'a> {
    session: &'a Session,
    seq: u64,
    pub answer: oneshot::Receiver<FromPlacer>,
    pub is_open: bool,
}

impl Question<'_> {
    /// Asks; none where the session has closed.
    pub fn ask(session: &Session, request: PlacementRequest) -> Option<Question<'_>> {
        let seq = request.seq;
        let (sender, answer) = oneshot::channel();
        lock(&session.waiting).insert(seq, sender);
        let question = Question { session, seq, answer, is_open: true };
        session.out.send(ToPlacer::Place(request).into()).ok()?;
        Some(question)
    }
}

impl Drop for Question<'_> {
    fn drop(&mut self) {
        lock(&self.session.waiting).remove(&self.seq);
        if self.is_open {
            let done = ToPlacer::Done { seq: self.seq, completion: Completion::Abandoned };
            // A session that has closed has given everything back.
            let _ = self.session.out.send(done.into());
        }
    }
}

/// Opens sessions with a placer one after the other.
pub(super) async fn follow(all: Arc<PlacementClient>, host: HostId, address: SocketAddr) {
    loop {
        if let Err(error) = run_session(&all, host, address).await {
            log::info!("placement: lost control host {host}: {error}");
        }
        all.set_session(host, None);
        tokio::time::sleep(PAUSE).await;
    }
}

async fn run_session(all: &PlacementClient, host: HostId, address: SocketAddr) -> Result<()> {
    let number = all.next_seq.fetch_add(1, Ordering::Relaxed);
    let open = Open::Place { router: all.peers.me, session: number };
    let (mut reader, writer) = all.peers.connect(address, &open).await?;
    let (out, batch) = BatchWriter::immediate(Some(all.peers.sent.of(Traffic::Placement)));
    let writing = tokio::spawn(batch.run(writer, || std::future::ready(())));
    let waiting = Waiting::default();
    let _unheard = Unheard(waiting.clone());
    let dead = CancellationToken::new();
    let session = Session { out, waiting: waiting.clone(), dead: dead.clone() };
    all.set_session(host, Some(session));
    let reading = async {
        loop {
            match reader.next::<Vec<FromPlacer>>().await {
                Ok(answers) => deliver(&waiting, answers),
                Err(error) => break error,
            }
        }
    };
    let lost = tokio::select! {
        error = reading => error,
        () = dead.cancelled() => Error::Silent,
    };
    writing.abort();
    Err(lost)
}

/// What waits for answers of a session learns when it ends, however it ends.
struct Unheard(Waiting);

impl Drop for Unheard {
    fn drop(&mut self) {
        lock(&self.0).clear();
    }
}

fn deliver(waiting: &Waiting, answers: Vec<FromPlacer>) {
    for answer in answers {
        if let Some(sender) = lock(waiting).remove(&answer.seq()) {
            // The request may have been given up.
            let _ = sender.send(answer);
        }
    }
}
