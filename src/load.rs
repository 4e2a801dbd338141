//! The load and experiment tool: scripted callers, and what they measured.

mod file;
mod issue;
mod measure;
mod observe;
mod report;
mod run;
#[cfg(test)]
mod tests;

pub use file::{Arrival, Lengths, LoadCustomer, LoadFile};
pub use measure::{Gap, Sample, fairness_gap};
pub use report::{LoadReport, compare, plot};
pub use run::run;
