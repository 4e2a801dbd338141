//! What a router reads in the heads of answers that it relays for another router. Their bytes are
//! passed on unchanged.

use axum::http::{HeaderName, StatusCode};

use crate::notice::LEAVING_VALUE;

/// Maximum number of bytes of a head that are scanned.
const MAX_HEAD_BYTES: usize = 16 << 10;
/// Maximum number of header lines of a head that are parsed.
const MAX_HEADERS: usize = 96;

/// The head of a relayed answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct RelayedHead {
    /// Whether it reports that its endpoint leaves.
    pub is_leaving: bool,
    /// Whether only the end of the connection ends the answer.
    pub ends_with_connection: bool,
}

/// Scans an answer for its head while the bytes are relayed.
pub(super) struct HeadScanner {
    leaving: HeaderName,
    /// The bytes so far; `None` once the head is complete or too long.
    bytes: Option<Vec<u8>>,
}

impl HeadScanner {
    /// A scanner for the head of an answer, with the name of the leaving header.
    pub fn new(leaving: HeaderName) -> HeadScanner {
        HeadScanner { leaving, bytes: Some(Vec::new()) }
    }

    /// Scans the next bytes of the answer; returns its head once that is complete.
    pub fn scan(&mut self, bytes: &[u8]) -> Option<RelayedHead> {
        let scanned = self.bytes.as_mut()?;
        scanned.extend_from_slice(bytes);
        let head = parse(scanned, &self.leaving);
        if head.is_some() || scanned.len() > MAX_HEAD_BYTES {
            self.bytes = None;
        }
        head
    }
}

/// Parses a head; `None` while it is incomplete. Bytes that are no valid head state nothing.
fn parse(bytes: &[u8], leaving: &HeaderName) -> Option<RelayedHead> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut response = httparse::Response::new(&mut headers);
    match response.parse(bytes) {
        Ok(httparse::Status::Partial) => return None,
        Ok(httparse::Status::Complete(_)) => {}
        Err(_) => return Some(RelayedHead::default()),
    }
    let status = response.code.and_then(|code| StatusCode::from_u16(code).ok());
    let has_body = !matches!(status, Some(StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED));
    let has = |name: &str| response.headers.iter().any(|h| h.name.eq_ignore_ascii_case(name));
    let is_leaving = response.headers.iter().any(|header| {
        header.name.eq_ignore_ascii_case(leaving.as_str())
            && header.value.trim_ascii() == LEAVING_VALUE
    });
    let is_framed = has("content-length") || has("transfer-encoding");
    Some(RelayedHead { is_leaving, ends_with_connection: has_body && !is_framed })
}
