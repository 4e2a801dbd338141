//! Sample sites: the settings, configuration and load of the two deployments
//! in the brief, on loopback.

mod plan;
#[cfg(test)]
mod tests;

pub use plan::{SampleSite, Site, SiteFiles};
