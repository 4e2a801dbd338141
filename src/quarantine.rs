//! Requests that crash the endpoints that run them.

mod fingerprint;

pub use fingerprint::Fingerprint;
