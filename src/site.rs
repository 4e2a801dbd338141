//! Sample sites: settings and configuration of two deployments, on loopback addresses.

mod plan;
#[cfg(test)]
mod tests;

pub use plan::{SampleSite, Site, SiteFiles};
