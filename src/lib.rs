//! bramblecrank: a router fleet for customers who share capacity fairly.
//!
//! The decision logic consists of state machines without I/O, clock or randomness, which other
//! programs can embed: [`dispatch`] (which request is served next, and at which endpoint),
//! [`agree`] (a replicated log), [`member`] (fleet membership), [`admission`], and [`claim`]
//! (calls that run at most once). The processes built on them are [`router`], [`control`], and
//! the emulators in [`emulate`].

pub mod admission;
pub mod agree;
pub mod answer;
pub mod caller;
pub mod caller_connection;
pub mod claim;
pub mod clock;
pub mod config;
pub mod control;
pub mod delivery;
pub mod demo;
pub mod dispatch;
pub mod eligibility;
pub mod emulate;
pub mod error;
pub mod feed;
pub mod gateway;
pub mod host_list;
pub mod http;
pub mod load;
pub mod loop_lag;
pub mod member;
pub mod notice;
pub mod operator;
pub mod peer;
pub mod placement;
pub mod quarantine;
pub mod region;
pub mod registry;
pub mod request_body;
pub mod resumption;
pub mod rollout;
pub mod router;
pub mod routing;
pub mod settings;
pub mod site;
pub mod spread;
pub mod store;
pub mod telemetry;
#[cfg(test)]
mod testing;
pub mod wire;
