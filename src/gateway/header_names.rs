//! What the gateway reads from and writes into the heads of requests and
//! answers. Names and formats differ between platforms; what follows from them
//! does not.

use std::net::SocketAddr;

use axum::http::{HeaderMap, HeaderName, HeaderValue, StatusCode};

use crate::notice::Notice;

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
pub struct RequestHead {
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

/// The names under which heads say things. The formats behind them are the same
/// everywhere.
#[derive(Clone, Debug)]
pub struct HeaderNames {
    /// The caller's id for this attempt.
    pub id: HeaderName,
    /// The caller's key; endpoints do not see it.
    pub key: HeaderName,
    /// Milliseconds that remain.
    pub deadline: HeaderName,
    /// Tokens of the prompt, and the most to be made, as `PROMPT,OUTPUT`.
    pub tokens: HeaderName,
    /// The prompt's parts, as `ID:TOKENS,...`.
    pub parts: HeaderName,
    /// The last event that the caller has.
    pub last_event: HeaderName,
    /// The id of the endpoint that is meant.
    pub endpoint: HeaderName,
    /// The customer.
    pub customer: HeaderName,
    /// An engine from which kept parts should be copied.
    pub copy_from: HeaderName,
    /// That the endpoint did not run the request.
    pub not_executed: HeaderName,
    /// The proof that an endpoint made the answer, where endpoints give one.
    pub seal: Option<HeaderName>,
    /// That the endpoint leaves, as `1`.
    pub leaving: HeaderName,
    /// What callers may not say to endpoints.
    pub reserved: Vec<HeaderName>,
}

impl HeaderNames {
    /// The product's own names.
    pub fn native() -> HeaderNames {
        HeaderNames {
            id: HeaderName::from_static("x-request-id"),
            key: HeaderName::from_static("x-api-key"),
            deadline: HeaderName::from_static("x-deadline-ms"),
            tokens: HeaderName::from_static("x-tokens"),
            parts: HeaderName::from_static("x-prompt-parts"),
            last_event: HeaderName::from_static("last-event-id"),
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
    pub fn read_call(&self, headers: &HeaderMap) -> RequestHead {
        let tokens = text(headers, &self.tokens).map(token_counts);
        let (prompt_tokens, output_tokens) = tokens.unwrap_or_default();
        RequestHead {
            id: text(headers, &self.id).map(str::to_string),
            key: text(headers, &self.key).map(str::to_string),
            deadline_ms: text(headers, &self.deadline).and_then(|t| t.trim().parse().ok()),
            prompt_tokens,
            output_tokens,
            parts: text(headers, &self.parts).map(prompt_parts).unwrap_or_default(),
            last_event: text(headers, &self.last_event).map(str::to_string),
        }
    }

    /// Turns a caller's head into what the endpoint gets: the key goes, what the
    /// gateway says itself replaces whatever the caller said under those names.
    pub fn write_call(&self, headers: &mut HeaderMap, forwarding: &Forwarding<'_>) {
        headers.remove(&self.key);
        for name in &self.reserved {
            headers.remove(name);
        }
        headers.insert(&self.deadline, HeaderValue::from(forwarding.remaining_ms));
        set_header(headers, &self.endpoint, Some(forwarding.endpoint));
        set_header(headers, &self.customer, forwarding.customer);
        let copy_from = forwarding.copy_from.map(|address| address.to_string());
        set_header(headers, &self.copy_from, copy_from.as_deref());
        if forwarding.after_event.is_some() {
            set_header(headers, &self.last_event, forwarding.after_event);
        }
    }

    /// Reads an answer's head.
    pub fn read_answer(&self, headers: &HeaderMap) -> AnswerHead {
        AnswerHead {
            id: text(headers, &self.id).map(str::to_string),
            not_executed: headers.contains_key(&self.not_executed),
            sealed: self.seal.as_ref().is_none_or(|seal| headers.contains_key(seal)),
        }
    }

    /// Reads what an endpoint says of itself in an answer's head.
    pub fn read_notice(&self, status: StatusCode, headers: &HeaderMap) -> Notice {
        Notice::read(status, headers, &self.leaving)
    }
}

/// A header's text, if it is there and is text.
fn text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}

/// Sets a header, or removes it where there is nothing to say.
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

/// Reads `ID:TOKENS,...` with ids in hexadecimal. A part counts as the same only
/// after the same parts, so each id is mixed with those before it.
pub(super) fn prompt_parts(text: &str) -> Vec<PromptPart> {
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
