//! Writing an answer that ends with its connection.

use std::io;

use axum::http::{HeaderValue, Response, header, response};
use http_body_util::BodyExt;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

use super::{CallerIo, CountedBody, set_reset_on_close};
use crate::clock::http_date;

/// A connection that is reset, also by the end of the process, unless it is finished: an orderly
/// close would pass for the end of the answer.
struct ResetUnlessFinished<I: CallerIo>(Option<I>);

impl<I: CallerIo> ResetUnlessFinished<I> {
    fn new(io: I) -> ResetUnlessFinished<I> {
        set_reset_on_close(io.socket(), true);
        ResetUnlessFinished(Some(io))
    }

    async fn finish(mut self) -> io::Result<I> {
        let Some(mut io) = self.0.take() else { return Err(io::ErrorKind::NotConnected.into()) };
        set_reset_on_close(io.socket(), false);
        io.shutdown().await?;
        Ok(io)
    }
}

impl<I: CallerIo> Drop for ResetUnlessFinished<I> {
    fn drop(&mut self) {
        if let Some(io) = self.0.take() {
            io.abort();
        }
    }
}

/// Writes an answer and its end, or resets the connection if the answer is broken off.
pub(super) async fn write_answer<I: CallerIo>(
    io: I,
    answer: Response<CountedBody>,
) -> io::Result<I> {
    let mut connection = ResetUnlessFinished::new(io);
    if let Some(io) = &mut connection.0 {
        write_parts(io, answer).await?;
    }
    connection.finish().await
}

async fn write_parts(io: &mut impl CallerIo, answer: Response<CountedBody>) -> io::Result<()> {
    let (head, mut body) = answer.into_parts();
    io.write_all(&encode(head)).await?;
    let mut discarded = [0; 1_024];
    loop {
        tokio::select! {
            frame = body.frame() => {
                let Some(frame) = frame else { return io.flush().await };
                if let Some(data) = frame.map_err(io::Error::other)?.data_ref() {
                    io.write_all(data).await?;
                }
            }
            // No further request is answered here, and bytes left unread would reset the
            // connection.
            read = io.read(&mut discarded) => if read? == 0 {
                return Err(io::ErrorKind::ConnectionAborted.into());
            },
        }
    }
}

fn encode(mut head: response::Parts) -> Vec<u8> {
    head.headers.remove(header::CONTENT_LENGTH);
    head.headers.remove(header::TRANSFER_ENCODING);
    head.headers.insert(header::CONNECTION, HeaderValue::from_static("close"));
    let date = head.headers.entry(header::DATE);
    // A date is always a valid value.
    date.or_insert_with(|| HeaderValue::from_str(&http_date()).expect("a valid value"));
    let reason = head.status.canonical_reason().unwrap_or_default();
    let mut bytes = format!("HTTP/1.1 {} {reason}\r\n", head.status.as_str()).into_bytes();
    for (name, value) in &head.headers {
        bytes.extend_from_slice(name.as_str().as_bytes());
        bytes.extend_from_slice(b": ");
        bytes.extend_from_slice(value.as_bytes());
        bytes.extend_from_slice(b"\r\n");
    }
    bytes.extend_from_slice(b"\r\n");
    bytes
}
