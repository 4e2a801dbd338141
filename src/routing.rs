//! The routing document: routes, services, customers' keys and limits. Control hosts agree on
//! it, and a higher version replaces it as a whole.

mod documents;
mod model;
#[cfg(test)]
mod tests;

pub use documents::{CurrentRouting, Routing};
pub use model::{
    CustomerKeys, Document, Engine, Limits, Route, RouteKind, RoutingTable, ServicePool, Target,
};
