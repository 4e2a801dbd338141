//! What the gateway reads from and writes into the heads of requests and
//! answers. Names and formats differ between platforms; what follows from them
//! does not.

use std::net::SocketAddr;

use axum::http::{HeaderMap, HeaderName, HeaderValue};

/// A part of a prompt that other prompts may share.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Names its content together with that of all parts before it.
    pub id: u64,
    /// Its length in tokens.
    pub tokens: u32,
}

/// What a request's head says.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CallHead {
    /// The caller's id for this attempt.
    pub id: Option<String>,
    /// The caller's key.
    pub key: Option<String>,
    /// Milliseconds for which the caller waits.
    pub deadline_ms: Option<u64>,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Most tokens of output.
    pub output_tokens: u32,
    /// The prompt's parts in order; the last is the request's own.
    pub parts: Vec<PromptPart>,
    /// The last event that the caller has, when it takes a stream up again.
    pub last_event: Option<String>,
}

/// What the gateway tells an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Forwarding<'a> {
    /// Milliseconds that remain.
    pub remaining_ms: u64,
    /// The id of the endpoint that is meant.
    pub endpoint: &'a str,
    /// The customer, where one is known.
    pub customer: Option<&'a str>,
    /// An engine from which it should copy what it does not keep of the prompt.
    pub copy_from: Option<SocketAddr>,
    /// The last event that the caller got, when the gateway takes a broken
    /// stream up again.
    pub after_event: Option<&'a str>,
}

/// What an answer's head says.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AnswerHead {
    /// The id of the request that it answers.
    pub id: Option<String>,
    /// Whether the endpoint states that it did not run the request.
    pub not_executed: bool,
    /// Whether it carries the proof that an endpoint made it.
    pub sealed: bool,
}

/// Names and formats of heads.
pub trait Dialect: Send + Sync + 'static {
    /// Reads a request's head.
    fn read_call(&self, headers: &HeaderMap) -> CallHead;
    /// Turns a caller's head into what the endpoint gets: the key goes, what the
    /// gateway says itself replaces whatever the caller said under those names.
    fn write_call(&self, headers: &mut HeaderMap, forwarding: &Forwarding<'_>);
    /// Reads an answer's head.
    fn read_answer(&self, headers: &HeaderMap) -> AnswerHead;
}

/// The product's own names.
#[derive(Clone, Copy, Debug, Default)]
pub struct NativeDialect;

const ID: HeaderName = HeaderName::from_static("x-request-id");
const KEY: HeaderName = HeaderName::from_static("x-api-key");
const DEADLINE: HeaderName = HeaderName::from_static("x-deadline-ms");
const TOKENS: HeaderName = HeaderName::from_static("x-tokens");
const PARTS: HeaderName = HeaderName::from_static("x-prompt-parts");
const LAST_EVENT: HeaderName = HeaderName::from_static("last-event-id");
const ENDPOINT: HeaderName = HeaderName::from_static("x-expect-endpoint");
const CUSTOMER: HeaderName = HeaderName::from_static("x-customer");
const COPY_FROM: HeaderName = HeaderName::from_static("x-copy-from");
const NOT_EXECUTED: HeaderName = HeaderName::from_static("x-not-executed");

impl Dialect for NativeDialect {
    fn read_call(&self, headers: &HeaderMap) -> CallHead {
        let (prompt_tokens, output_tokens) = text(headers, &TOKENS).map_or((0, 0), token_counts);
        CallHead {
            id: text(headers, &ID).map(str::to_string),
            key: text(headers, &KEY).map(str::to_string),
            deadline_ms: text(headers, &DEADLINE).and_then(|t| t.trim().parse().ok()),
            prompt_tokens,
            output_tokens,
            parts: text(headers, &PARTS).map(prompt_parts).unwrap_or_default(),
            last_event: text(headers, &LAST_EVENT).map(str::to_string),
        }
    }

    fn write_call(&self, headers: &mut HeaderMap, forwarding: &Forwarding<'_>) {
        headers.remove(KEY);
        headers.insert(DEADLINE, HeaderValue::from(forwarding.remaining_ms));
        set_header(headers, ENDPOINT, Some(forwarding.endpoint));
        set_header(headers, CUSTOMER, forwarding.customer);
        let copy_from = forwarding.copy_from.map(|address| address.to_string());
        set_header(headers, COPY_FROM, copy_from.as_deref());
        if forwarding.after_event.is_some() {
            set_header(headers, LAST_EVENT, forwarding.after_event);
        }
    }

    fn read_answer(&self, headers: &HeaderMap) -> AnswerHead {
        AnswerHead {
            id: text(headers, &ID).map(str::to_string),
            not_executed: headers.contains_key(NOT_EXECUTED),
            sealed: true,
        }
    }
}

/// A header's text, if it is there and is text.
pub fn text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}

/// Sets a header, or removes it where there is nothing to say.
pub fn set_header(headers: &mut HeaderMap, name: HeaderName, value: Option<&str>) {
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
pub fn token_counts(text: &str) -> (u32, u32) {
    let mut counts = text.split(',').map(|n| n.trim().parse().unwrap_or(0));
    (counts.next().unwrap_or(0), counts.next().unwrap_or(0))
}

/// Reads `ID:TOKENS,...` with ids in hexadecimal. A part counts as the same only
/// after the same parts, so each id is mixed with those before it.
pub fn prompt_parts(text: &str) -> Vec<PromptPart> {
    let mut before = 0;
    let part = |part: &str| {
        let (id, tokens) = part.trim().split_once(':')?;
        let mut key = [0; 16];
        key[..8].copy_from_slice(&u64::to_be_bytes(before));
        key[8..].copy_from_slice(&u64::from_str_radix(id, 16).ok()?.to_be_bytes());
        before = xxhash_rust::xxh3::xxh3_64(&key);
        Some(PromptPart { id: before, tokens: tokens.parse().ok()? })
    };
    text.split(',').map_while(part).collect()
}
