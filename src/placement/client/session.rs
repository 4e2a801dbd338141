//! A session with a placer, and the queries pending on it.

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

/// How long to wait before reopening a lost session.
const RECONNECT_DELAY: Duration = Duration::from_millis(200);

pub(super) type Waiting = Arc<Mutex<HashMap<u64, oneshot::Sender<FromPlacer>>>>;

/// A session with a placer.
#[derive(Clone, Debug)]
pub(super) struct Session {
    pub out: BatchSender<ToPlacer>,
    pub waiting: Waiting,
    /// Cancelled to end the session, so that another one is opened.
    pub cancellation: CancellationToken,
}

/// A query for the placement of a request. If it is dropped before the answer arrives, the request
/// is withdrawn; otherwise a late placement would stay reserved without a user.
pub(super) struct Query<'a> {
    session: &'a Session,
    seq: u64,
    pub answer: oneshot::Receiver<FromPlacer>,
    pub is_open: bool,
}

impl Query<'_> {
    /// Sends the query; `None` if the session has closed.
    pub fn ask(session: &Session, request: PlacementRequest) -> Option<Query<'_>> {
        let seq = request.seq;
        let (sender, answer) = oneshot::channel();
        lock(&session.waiting).insert(seq, sender);
        let query = Query { session, seq, answer, is_open: true };
        session.out.send(ToPlacer::Place(request).into()).ok()?;
        Some(query)
    }
}

impl Drop for Query<'_> {
    fn drop(&mut self) {
        lock(&self.session.waiting).remove(&self.seq);
        if self.is_open {
            let done = ToPlacer::Done { seq: self.seq, completion: Completion::Abandoned };
            // A placer drops all requests of a session that closes.
            let _ = self.session.out.send(done.into());
        }
    }
}

/// Keeps a session with a placer open, reconnecting after each loss.
pub(super) async fn maintain_session(
    client: Arc<PlacementClient>,
    host: HostId,
    address: SocketAddr,
) {
    loop {
        if let Err(error) = run_session(&client, host, address).await {
            log::info!("placement: lost session with control host {host}: {error}");
        }
        client.set_session(host, None);
        tokio::time::sleep(RECONNECT_DELAY).await;
    }
}

async fn run_session(client: &PlacementClient, host: HostId, address: SocketAddr) -> Result<()> {
    let number = client.next_seq.fetch_add(1, Ordering::Relaxed);
    let open = Open::Place { router: client.peers.me, session: number };
    let (mut reader, writer) = client.peers.connect(address, &open).await?;
    let (out, batch) = BatchWriter::immediate(Some(client.peers.sent.of(Traffic::Placement)));
    let writing = tokio::spawn(batch.run(writer, || std::future::ready(())));
    let waiting = Waiting::default();
    let _clear_on_drop = ClearOnDrop(waiting.clone());
    let cancellation = CancellationToken::new();
    let session = Session { out, waiting: waiting.clone(), cancellation: cancellation.clone() };
    client.set_session(host, Some(session));
    let reading = async {
        loop {
            match reader.next::<Vec<FromPlacer>>().await {
                Ok(answers) => deliver(&waiting, answers),
                Err(error) => break error,
            }
        }
    };
    let error = tokio::select! {
        error = reading => error,
        () = cancellation.cancelled() => Error::SilenceTimeout,
    };
    writing.abort();
    Err(error)
}

/// Drops the senders of all pending queries when a session ends for any reason, so that their
/// receivers return at once.
struct ClearOnDrop(Waiting);

impl Drop for ClearOnDrop {
    fn drop(&mut self) {
        lock(&self.0).clear();
    }
}

fn deliver(waiting: &Waiting, answers: Vec<FromPlacer>) {
    for answer in answers {
        if let Some(sender) = lock(waiting).remove(&answer.seq()) {
            // The query may have been dropped.
            let _ = sender.send(answer);
        }
    }
}
