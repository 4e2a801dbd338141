//! Reading and writing the heads of requests and answers.
//!
//! Header names differ between platforms; the formats and their meaning do not.

use std::net::SocketAddr;

use axum::http::{HeaderMap, HeaderName, HeaderValue, StatusCode};
use xxhash_rust::xxh3::xxh3_64;

use crate::notice::Notice;

/// A part of a prompt that other prompts may share.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Identifies its content together with that of all parts before it.
    pub prefix_id: u64,
    /// Identifies its content, whatever comes before it.
    pub content_id: u64,
    /// Its length in tokens.
    pub tokens: u32,
}

/// Values from a request's head.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RequestHead {
    /// The caller's id for this attempt.
    pub id: Option<String>,
    /// The caller's key.
    pub key: Option<String>,
    /// Milliseconds for which the caller waits.
    pub deadline_ms: Option<u64>,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Maximum number of tokens of output.
    pub output_tokens: u32,
    /// A hash of the name of the model that is to answer.
    pub model: Option<u64>,
    /// The prompt's parts in order; the last is the request's own.
    pub parts: Vec<PromptPart>,
    /// The id of the last event that the caller received, when it resumes a stream.
    pub last_event: Option<String>,
    /// The id of the attempt that brought the stream's first event, when the caller resumes a
    /// stream.
    pub resumes: Option<String>,
}

/// Values that the gateway sends to an endpoint in a request's head.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Forwarding<'a> {
    /// Milliseconds left until the deadline.
    pub remaining_ms: u64,
    /// The id of the intended endpoint.
    pub endpoint: &'a str,
    /// The customer, where one is known.
    pub customer: Option<&'a str>,
    /// The engine from which the endpoint copies prompt parts that it has not cached.
    pub copy_from: Option<SocketAddr>,
    /// The id of the last event that the caller received, when the gateway resumes a
    /// truncated stream.
    pub after_event: Option<&'a str>,
}

/// Values from an answer's head.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AnswerHead {
    /// The id of the request that it answers.
    pub id: Option<String>,
    /// Whether the endpoint states that it did not run the request.
    pub not_executed: bool,
    /// Whether it has the header that proves that an endpoint made it, where one is required.
    pub sealed: bool,
}

/// The names of the headers. Their formats are the same on all platforms.
#[derive(Clone, Debug)]
pub struct HeaderNames {
    /// The caller's id for this attempt.
    pub id: HeaderName,
    /// The caller's key; removed before a request is forwarded.
    pub key: HeaderName,
    /// Milliseconds left until the deadline.
    pub deadline: HeaderName,
    /// Tokens of the prompt and maximum tokens of output, as `PROMPT,OUTPUT`.
    pub tokens: HeaderName,
    /// The model that is to answer.
    pub model: HeaderName,
    /// The prompt's parts, as `ID:TOKENS,...`.
    pub parts: HeaderName,
    /// The id of the last event that the caller received.
    pub last_event: HeaderName,
    /// The id of the attempt that brought the first event of the stream that is resumed.
    pub resumes: HeaderName,
    /// The id of the intended endpoint.
    pub endpoint: HeaderName,
    /// The customer.
    pub customer: HeaderName,
    /// The address of the engine from which cached prompt parts are copied.
    pub copy_from: HeaderName,
    /// Present if the endpoint did not run the request.
    pub not_executed: HeaderName,
    /// The proof that an endpoint made the answer, where endpoints send one.
    pub seal: Option<HeaderName>,
    /// Reports that the endpoint leaves, as `1`.
    pub leaving: HeaderName,
    /// Headers that are removed from callers' requests.
    pub reserved: Vec<HeaderName>,
}

impl HeaderNames {
    /// The names that this product defines itself.
    pub fn native() -> HeaderNames {
        HeaderNames {
            id: HeaderName::from_static("x-request-id"),
            key: HeaderName::from_static("x-api-key"),
            deadline: HeaderName::from_static("x-deadline-ms"),
            tokens: HeaderName::from_static("x-tokens"),
            model: HeaderName::from_static("x-model"),
            parts: HeaderName::from_static("x-prompt-parts"),
            last_event: HeaderName::from_static("last-event-id"),
            resumes: HeaderName::from_static("x-resumes"),
            endpoint: HeaderName::from_static("x-expect-endpoint"),
            customer: HeaderName::from_static("x-customer"),
            copy_from: HeaderName::from_static("x-copy-from"),
            not_executed: HeaderName::from_static("x-not-executed"),
            seal: None,
            leaving: HeaderName::from_static("x-leaving"),
            reserved: Vec::new(),
        }
    }

    /// Reads a request's head.
    pub fn read_request(&self, headers: &HeaderMap) -> RequestHead {
        let tokens = header_text(headers, &self.tokens).map(token_counts);
        let (prompt_tokens, output_tokens) = tokens.unwrap_or_default();
        RequestHead {
            id: header_text(headers, &self.id).map(str::to_string),
            key: header_text(headers, &self.key).map(str::to_string),
            deadline_ms: header_text(headers, &self.deadline).and_then(|t| t.trim().parse().ok()),
            prompt_tokens,
            output_tokens,
            model: header_text(headers, &self.model).map(|name| xxh3_64(name.as_bytes())),
            parts: header_text(headers, &self.parts).map(prompt_parts).unwrap_or_default(),
            last_event: header_unicode(headers, &self.last_event),
            resumes: header_unicode(headers, &self.resumes),
        }
    }

    /// Converts a caller's head to the one for an endpoint: removes the key and the reserved
    /// headers, and overwrites the headers that only the gateway may set.
    pub fn write_request(&self, headers: &mut HeaderMap, forwarding: &Forwarding<'_>) {
        headers.remove(&self.key);
        for name in &self.reserved {
            headers.remove(name);
        }
        headers.insert(&self.deadline, HeaderValue::from(forwarding.remaining_ms));
        set_header(headers, &self.endpoint, Some(forwarding.endpoint));
        set_header(headers, &self.customer, forwarding.customer);
        let copy_from = forwarding.copy_from.map(|address| address.to_string());
        set_header(headers, &self.copy_from, copy_from.as_deref());
        if let Some(value) = forwarding.after_event.and_then(event_id_value) {
            headers.insert(&self.last_event, value);
        }
    }

    /// Reads an answer's head.
    pub fn read_answer(&self, headers: &HeaderMap) -> AnswerHead {
        AnswerHead {
            id: header_text(headers, &self.id).map(str::to_string),
            not_executed: headers.contains_key(&self.not_executed),
            sealed: self.seal.as_ref().is_none_or(|seal| headers.contains_key(seal)),
        }
    }

    /// Reads an endpoint's notice from an answer's head.
    pub fn read_notice(&self, status: StatusCode, headers: &HeaderMap) -> Notice {
        Notice::read(status, headers, &self.leaving)
    }
}

/// A header's value, if it is present and is text.
fn header_text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}

/// A header's value, if it is present, whatever its bytes are.
fn header_unicode(headers: &HeaderMap, name: &HeaderName) -> Option<String> {
    headers.get(name).map(|value| String::from_utf8_lossy(value.as_bytes()).into_owned())
}

/// The value of a header that names an event; `None` if its id has characters that no header may
/// have.
pub(super) fn event_id_value(id: &str) -> Option<HeaderValue> {
    HeaderValue::from_bytes(id.as_bytes()).ok()
}

/// Sets a header, or removes it if there is no valid value.
fn set_header(headers: &mut HeaderMap, name: &HeaderName, value: Option<&str>) {
    match value.and_then(|value| HeaderValue::from_str(value).ok()) {
        Some(value) => {
            headers.insert(name, value);
        }
        None => {
            headers.remove(name);
        }
    }
}

/// Reads `PROMPT,OUTPUT`.
pub(super) fn token_counts(text: &str) -> (u32, u32) {
    let mut counts = text.split(',').map(|n| n.trim().parse().unwrap_or(0));
    (counts.next().unwrap_or(0), counts.next().unwrap_or(0))
}

/// Reads `ID:TOKENS,...` with ids in hexadecimal. An engine keeps a part only together with those
/// before it, so each prefix id is hashed from the ids up to it.
pub(super) fn prompt_parts(text: &str) -> Vec<PromptPart> {
    let mut before = 0;
    let part = |part: &str| {
        let (id, tokens) = part.trim().split_once(':')?;
        let content_id = u64::from_str_radix(id, 16).ok()?;
        let mut key = [0; 16];
        key[..8].copy_from_slice(&u64::to_be_bytes(before));
        key[8..].copy_from_slice(&content_id.to_be_bytes());
        before = xxh3_64(&key);
        Some(PromptPart { prefix_id: before, content_id, tokens: tokens.parse().ok()? })
    };
    text.split(',').map_while(part).collect()
}
