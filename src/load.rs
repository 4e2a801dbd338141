//! The load tool: generates scripted load on a fleet, and reports what callers measured.

mod deadly;
mod file;
mod measure;
mod observe;
mod report;
mod request;
mod run;
#[cfg(test)]
mod tests;

pub use file::{Arrival, Lengths, LoadCustomer, LoadFile};
pub use measure::{Gap, Sample, fairness_gap};
pub use report::{LoadReport, compare, plot};
pub use run::run;
