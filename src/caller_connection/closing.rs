//! Closing a connection so that its caller gets all that was written.
//!
//! A socket that is closed with unread bytes, or that receives some after that, resets its
//! connection, and the caller loses what it has not read yet.

use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::sync::Semaphore;
use tokio::time::{Instant, timeout, timeout_at};

use super::CallerIo;

/// Maximum time for which input is discarded.
const DISCARD_TIME: Duration = Duration::from_secs(5);
/// Time without input after which a caller that went on sending is taken to have stopped.
const QUIET_TIME: Duration = Duration::from_millis(500);
/// Bytes that are discarded at a time.
const DISCARD_BYTES: usize = 4 << 10;

/// Maximum number of connections whose input is discarded in the background.
const MAX_IN_BACKGROUND: usize = 256;

static IN_BACKGROUND: Semaphore = Semaphore::const_new(MAX_IN_BACKGROUND);

/// Closes a connection on which all answers are written. Returns once its caller sends nothing
/// more; input that comes later is discarded in the background. `has_input` tells that more than
/// the answered requests has been received.
pub(crate) async fn close_connection(mut io: impl CallerIo, has_input: bool) {
    // The HTTP library has done so where it closes the connection itself.
    let _ = io.shutdown().await;
    let deadline = Instant::now() + DISCARD_TIME;
    let mut buffer = vec![0; DISCARD_BYTES];
    let mut quiet_time = if has_input { QUIET_TIME } else { Duration::ZERO };
    loop {
        let reading = timeout_at(deadline, timeout(quiet_time, io.read(&mut buffer)));
        match reading.await {
            Ok(Ok(Ok(1..))) => quiet_time = QUIET_TIME,
            Ok(Ok(Ok(0) | Err(_))) | Err(_) => return,
            Ok(Err(_)) => break,
        }
    }
    let Ok(permit) = IN_BACKGROUND.try_acquire() else { return };
    tokio::spawn(timeout_at(deadline, async move {
        let _permit = permit;
        while matches!(io.read(&mut buffer).await, Ok(1..)) {}
    }));
}
