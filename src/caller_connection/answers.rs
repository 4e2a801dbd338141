//! Counting answers until they are written, and the connections that wait for requests meanwhile.

use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll};

use axum::body::Body;
use bytes::Bytes;
use hyper::body::{Frame, SizeHint};
use tokio_util::sync::CancellationToken;

use super::waiting::WaitingConnections;

/// The answers of all connections of a process that are not yet written in full.
#[derive(Debug, Default)]
pub struct OpenAnswers {
    count: AtomicUsize,
    waiting: WaitingConnections,
}

impl OpenAnswers {
    /// Number of requests whose callers are still connected and whose answers the kernel has not
    /// accepted in full.
    pub fn count(&self) -> usize {
        self.count.load(Ordering::Acquire)
    }

    /// Closes the connection on which no request has been served for the longest time, to make way
    /// for a new one; returns whether there is such a connection.
    pub fn close_longest_waiting(&self) -> bool {
        self.waiting.close_longest()
    }
}

/// The answers of one connection. What is left of them is no longer counted once this is dropped.
#[derive(Debug)]
pub(super) struct ConnectionAnswers {
    all: Arc<OpenAnswers>,
    /// Answers whose bodies have been read to their end, or dropped.
    ended: AtomicUsize,
    /// Whether they count until the connection is closed.
    is_closing: AtomicBool,
    place: Mutex<Place>,
    /// Cancelled when the connection has to make way for another.
    displaced: CancellationToken,
}

/// Where a connection stands between requests.
#[derive(Debug)]
enum Place {
    /// It waits for a request, or for its caller to close it, under this number.
    Waiting(u64),
    /// This number of answers is not yet written in full.
    Serving(usize),
    /// No further request is read.
    Closing,
}

impl ConnectionAnswers {
    pub fn new(all: &Arc<OpenAnswers>) -> Arc<ConnectionAnswers> {
        let displaced = CancellationToken::new();
        let place = Place::Waiting(all.waiting.add(displaced.clone()));
        Arc::new(ConnectionAnswers {
            all: all.clone(),
            ended: AtomicUsize::new(0),
            is_closing: AtomicBool::new(false),
            place: Mutex::new(place),
            displaced,
        })
    }

    fn place(&self) -> MutexGuard<'_, Place> {
        self.place.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Ready once the connection has to make way for another.
    pub async fn displaced(&self) {
        self.displaced.cancelled().await;
    }

    /// Counts the answer to a request that has arrived; `None` if the connection is being closed to
    /// make way for another, so that the request must not be served.
    pub fn begin(self: &Arc<Self>) -> Option<OpenAnswer> {
        let mut place = self.place();
        *place = match *place {
            Place::Waiting(number) if !self.all.waiting.remove(number) => return None,
            Place::Waiting(_) => Place::Serving(1),
            Place::Serving(open) => Place::Serving(open + 1),
            Place::Closing => Place::Closing,
        };
        drop(place);
        self.all.count.fetch_add(1, Ordering::AcqRel);
        Some(OpenAnswer(self.clone()))
    }

    /// The connection reads no further request, but is still used.
    pub fn stop_waiting(&self) {
        self.set_place(Place::Closing);
    }

    /// All answers are written, and the connection only waits for its caller to close it.
    pub fn wait_for_close(&self) {
        self.set_place(Place::Waiting(self.all.waiting.add(self.displaced.clone())));
    }

    fn set_place(&self, next: Place) {
        let mut place = self.place();
        if let Place::Waiting(number) = *place {
            self.all.waiting.remove(number);
        }
        *place = next;
    }

    /// Counts the last answers until the connection is closed: until then, a reset would take from
    /// the caller what it has not read.
    pub fn set_closing(&self) {
        self.is_closing.store(true, Ordering::Release);
    }

    /// The kernel has accepted all bytes of the bodies read so far.
    pub fn record_flush(&self) {
        if !self.is_closing.load(Ordering::Acquire) {
            self.release();
        }
    }

    fn release(&self) {
        let ended = self.ended.swap(0, Ordering::AcqRel);
        if ended == 0 {
            return;
        }
        self.all.count.fetch_sub(ended, Ordering::AcqRel);
        let mut place = self.place();
        if let Place::Serving(open) = &mut *place {
            *open = open.saturating_sub(ended);
            if *open == 0 {
                *place = Place::Waiting(self.all.waiting.add(self.displaced.clone()));
            }
        }
    }
}

impl Drop for ConnectionAnswers {
    fn drop(&mut self) {
        self.release();
        self.stop_waiting();
    }
}

/// An answer whose body has not ended. Once dropped, it counts until the next flush.
#[derive(Debug)]
pub(super) struct OpenAnswer(Arc<ConnectionAnswers>);

impl Drop for OpenAnswer {
    fn drop(&mut self) {
        self.0.ended.fetch_add(1, Ordering::AcqRel);
    }
}

/// The body of an answer that is counted.
#[derive(Debug)]
pub(super) struct CountedBody {
    pub body: Body,
    pub _answer: OpenAnswer,
}

impl hyper::body::Body for CountedBody {
    type Data = Bytes;
    type Error = axum::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, axum::Error>>> {
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
