//! Counting answers until they are written.

use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::task::{Context, Poll};

use axum::body::Body;
use bytes::Bytes;
use hyper::body::{Frame, SizeHint};

/// The answers of all connections of a process that are not yet written in full.
#[derive(Debug, Default)]
pub struct OpenAnswers(AtomicUsize);

impl OpenAnswers {
    /// Number of requests whose callers are still connected and whose answers the kernel has not
    /// accepted in full.
    pub fn count(&self) -> usize {
        self.0.load(Ordering::Acquire)
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
}

impl ConnectionAnswers {
    pub fn new(all: &Arc<OpenAnswers>) -> Arc<ConnectionAnswers> {
        Arc::new(ConnectionAnswers {
            all: all.clone(),
            ended: AtomicUsize::new(0),
            is_closing: AtomicBool::new(false),
        })
    }

    /// Counts the answer to a request that has arrived.
    pub fn begin(self: &Arc<Self>) -> OpenAnswer {
        self.all.0.fetch_add(1, Ordering::AcqRel);
        OpenAnswer(self.clone())
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
        if ended > 0 {
            self.all.0.fetch_sub(ended, Ordering::AcqRel);
        }
    }
}

impl Drop for ConnectionAnswers {
    fn drop(&mut self) {
        self.release();
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
