//! Routes, services, callers' keys and limits: one whole document that the
//! control hosts agree on, replaced as a whole by the highest version.

mod documents;
mod model;
#[cfg(test)]
mod tests;

pub use documents::{CurrentRouting, Routing};
pub use model::{
    CustomerKeys, Document, Engine, Limits, Route, RouteKind, RoutingTable, ServicePool, Target,
};
