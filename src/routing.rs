//! The routing document: routes, services, customers' keys and limits. Control hosts agree on
//! it, and a higher version replaces it as a whole.

mod current;
mod model;
#[cfg(test)]
mod tests;

pub use current::{CurrentRouting, Routing};
pub use model::{
    Callers, CustomerKeys, Document, Engine, Limits, Route, RouteKind, RoutingTable, ServicePool,
    Target,
};
