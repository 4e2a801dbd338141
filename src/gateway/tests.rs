//! Decisions of the gateway.
