//! Reading a body up to its end.

use std::time::Duration;

use axum::http::StatusCode;
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Body;

use super::held::HeldBody;
use super::ledger::PROGRESS_BYTES;
use super::memory::HeldRequest;

/// Bytes that are allocated for a body at first.
const FIRST_BYTES: usize = 4 << 10;

/// Why a body was not read to its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, snafu::Snafu)]
pub enum ReadError {
    /// It has more bytes than are accepted.
    #[snafu(display("the body is too large"))]
    TooLarge,
    /// It did not end in time.
    #[snafu(display("the body did not arrive in time"))]
    TooSlow,
    /// Its connection ended early, or its framing is invalid.
    #[snafu(display("the body broke off"))]
    Broken,
    /// There is no room for it.
    #[snafu(display("the process holds too many bytes of requests"))]
    NoMemory,
}

impl ReadError {
    /// The status of the answer that tells the caller.
    pub fn status(self) -> StatusCode {
        match self {
            ReadError::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            ReadError::TooSlow => StatusCode::REQUEST_TIMEOUT,
            ReadError::Broken => StatusCode::BAD_REQUEST,
            ReadError::NoMemory => StatusCode::SERVICE_UNAVAILABLE,
        }
    }
}

/// Reads a body of up to `max_bytes` bytes within `time`. Its bytes count for `held`.
pub async fn read_body<B>(
    body: B,
    max_bytes: usize,
    time: Duration,
    held: HeldRequest,
) -> Result<HeldBody, ReadError>
where
    B: Body<Data = Bytes> + Unpin,
{
    let reading = async {
        tokio::select! {
            read = read_to_end(body, max_bytes, &held) => read,
            () = held.given_up() => Err(ReadError::NoMemory),
        }
    };
    let bytes = tokio::time::timeout(time, reading).await.unwrap_or(Err(ReadError::TooSlow))?;
    Ok(HeldBody::new(bytes, held))
}

async fn read_to_end<B>(
    mut body: B,
    max_bytes: usize,
    held: &HeldRequest,
) -> Result<Bytes, ReadError>
where
    B: Body<Data = Bytes> + Unpin,
{
    let announced = usize::try_from(body.size_hint().lower()).unwrap_or(usize::MAX);
    if announced > max_bytes {
        return Err(ReadError::TooLarge);
    }
    if !held.make_room(announced) {
        return Err(ReadError::NoMemory);
    }
    // Pieces are copied together, since the buffer of even the smallest one stays allocated.
    let mut content = Vec::new();
    let mut recorded = 0;
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| ReadError::Broken)?;
        // Trailers are specific to the connection.
        let Ok(piece) = frame.into_data() else { continue };
        let length = content.len() + piece.len();
        if length > max_bytes {
            return Err(ReadError::TooLarge);
        }
        if length > content.capacity() {
            let doubled = (content.capacity() * 2).max(FIRST_BYTES);
            let most = if announced > 0 { announced } else { max_bytes };
            let capacity = doubled.min(most).max(length);
            if !held.grow(capacity) {
                return Err(ReadError::NoMemory);
            }
            content.reserve_exact(capacity - content.len());
            recorded = length;
        } else if length - recorded >= PROGRESS_BYTES {
            held.record_progress();
            recorded = length;
        }
        content.extend_from_slice(&piece);
    }
    content.shrink_to_fit();
    held.complete(content.len());
    Ok(content.into())
}
