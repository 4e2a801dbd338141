//! The YAML document in which operators declare a configuration.

use serde::{Deserialize, Serialize};

use super::model::*;

/// A configuration or a part of one, as an operator writes it.
///
/// Applying a document declares or replaces what it names and leaves the rest unchanged.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Document {
    /// Data halls.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub halls: Vec<String>,
    /// Services.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub services: Vec<Service>,
    /// Customers.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub customers: Vec<Customer>,
    /// Endpoints.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub endpoints: Vec<Endpoint>,
    /// Names of customers to remove.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub remove_customers: Vec<String>,
    /// Names of endpoints to remove.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub remove_endpoints: Vec<String>,
}

impl Document {
    /// The changes that apply the document, in order.
    pub fn changes(&self) -> Vec<Change> {
        let mut changes = Vec::new();
        changes.extend(self.halls.iter().cloned().map(Change::AddHall));
        changes.extend(self.services.iter().cloned().map(Change::PutService));
        changes.extend(self.customers.iter().cloned().map(Change::PutCustomer));
        changes.extend(self.endpoints.iter().cloned().map(Change::PutEndpoint));
        changes.extend(self.remove_customers.iter().cloned().map(Change::RemoveCustomer));
        changes.extend(self.remove_endpoints.iter().cloned().map(Change::RemoveEndpoint));
        changes
    }

    /// The document that declares all of `config`.
    pub fn of(config: &Config) -> Document {
        Document {
            halls: config.halls.values().cloned().collect(),
            services: config.services.values().cloned().collect(),
            customers: config.customers.values().cloned().collect(),
            endpoints: config.endpoints.values().cloned().collect(),
            ..Document::default()
        }
    }
}
