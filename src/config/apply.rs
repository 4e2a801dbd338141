//! Validation and application of changes.

use std::net::SocketAddr;

use super::model::*;

/// Why a change was not accepted.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Refusal {
    /// The invalid field, as a path in the configuration.
    pub field: String,
    /// What is wrong with it.
    pub problem: String,
    /// How to correct it.
    pub remedy: String,
}

impl std::fmt::Display for Refusal {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}: {}; {}", self.field, self.problem, self.remedy)
    }
}

fn refuse(field: String, problem: &str, remedy: &str) -> Refusal {
    Refusal { field, problem: problem.to_string(), remedy: remedy.to_string() }
}

const MAX_NAME_BYTES: usize = 128;

fn check_name(field: &str, name: &str) -> Result<(), Refusal> {
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
    if name.is_empty() || name.len() > MAX_NAME_BYTES || !name.chars().all(is_allowed) {
        return Err(refuse(
            format!("{field}.{name}.name"),
            "is not a usable name",
            "use 1 to 128 letters, digits, '-', '_' or '.'",
        ));
    }
    Ok(())
}

impl Config {
    /// Returns the configuration with `changes` applied as one new version; if one of them is
    /// refused, none is applied.
    pub fn apply(&self, changes: &[Change]) -> Result<Config, Refusal> {
        let mut next = self.clone();
        for change in changes {
            next.apply_one(change)?;
        }
        next.version += 1;
        Ok(next)
    }

    /// Applies one change as a new version; a refused one changes nothing.
    pub(super) fn apply_in_place(&mut self, change: &Change) -> Result<(), Refusal> {
        self.apply_one(change)?;
        self.version += 1;
        Ok(())
    }

    fn apply_one(&mut self, change: &Change) -> Result<(), Refusal> {
        match change {
            Change::AddHall(name) => self.add_hall(name),
            Change::PutService(service) => self.put_service(service),
            Change::PutCustomer(customer) => self.put_customer(customer),
            Change::PutEndpoint(endpoint) => self.put_endpoint(endpoint),
            Change::RemoveCustomer(name) => self.remove_customer(name),
            Change::RemoveEndpoint(name) => self.remove_endpoint(name),
            Change::SetLeaving { endpoint, leaving } => self.set_leaving(endpoint, *leaving),
        }
    }

    fn add_hall(&mut self, name: &str) -> Result<(), Refusal> {
        check_name("halls", name)?;
        if self.hall_id(name).is_some() {
            return Ok(());
        }
        if self.halls.len() >= MAX_HALLS {
            let problem = "would be one data hall too many";
            return Err(refuse(format!("halls.{name}"), problem, "declare at most 32"));
        }
        let id = HallId(self.halls.len() as u8);
        self.halls.insert(id, name.to_string());
        Ok(())
    }

    fn put_service(&mut self, service: &Service) -> Result<(), Refusal> {
        check_name("services", &service.name)?;
        let field = |f: &str| format!("services.{}.{f}", service.name);
        if service.deadline_ms == 0 {
            return Err(refuse(field("deadline_ms"), "is zero", "give milliseconds"));
        }
        for rule in &service.run_once {
            if !rule.path.starts_with('/') {
                let remedy = "start it with '/'";
                return Err(refuse(field("run_once.path"), "is not a path", remedy));
            }
        }
        let next = ServiceId(self.services.len() as u16);
        let id = self.service_id(&service.name).unwrap_or(next);
        self.services.insert(id, service.clone());
        Ok(())
    }

    fn put_customer(&mut self, customer: &Customer) -> Result<(), Refusal> {
        check_name("customers", &customer.name)?;
        let field = |f: &str| format!("customers.{}.{f}", customer.name);
        if customer.share == 0 {
            return Err(refuse(field("share"), "is zero", "give at least 1"));
        }
        if customer.max_waiting == 0 {
            return Err(refuse(field("max_waiting"), "is zero", "give at least 1"));
        }
        for name in &customer.services {
            if self.service_id(name).is_none() {
                let problem = format!("names the unknown service '{name}'");
                return Err(refuse(field("services"), &problem, "declare the service first"));
            }
        }
        let id = match self.customer_id(&customer.name) {
            Some(id) => id,
            None => {
                let id = CustomerId(self.next_customer);
                self.next_customer += 1;
                id
            }
        };
        self.customer_ids.insert(customer.name.clone(), id);
        self.customers.insert(id, customer.clone());
        Ok(())
    }

    fn put_endpoint(&mut self, endpoint: &Endpoint) -> Result<(), Refusal> {
        check_name("endpoints", &endpoint.name)?;
        let field = |f: &str| format!("endpoints.{}.{f}", endpoint.name);
        if self.service_id(&endpoint.service).is_none() {
            let problem = format!("names the unknown service '{}'", endpoint.service);
            return Err(refuse(field("service"), &problem, "declare the service first"));
        }
        if self.hall_id(&endpoint.hall).is_none() {
            let problem = format!("names the unknown data hall '{}'", endpoint.hall);
            return Err(refuse(field("hall"), &problem, "declare the data hall first"));
        }
        if endpoint.address.parse::<SocketAddr>().is_err() {
            return Err(refuse(
                field("address"),
                "is not 'ip:port'",
                "give an IP number and a port",
            ));
        }
        if endpoint.slots == 0 {
            return Err(refuse(field("slots"), "is zero", "give at least 1"));
        }
        let id = match self.endpoint_ids.get(&endpoint.name) {
            Some(id) => *id,
            None => {
                let id = EndpointId(self.next_endpoint);
                self.next_endpoint += 1;
                id
            }
        };
        self.endpoint_ids.insert(endpoint.name.clone(), id);
        self.endpoints.insert(id, endpoint.clone());
        Ok(())
    }

    fn remove_customer(&mut self, name: &str) -> Result<(), Refusal> {
        let Some(id) = self.customer_ids.remove(name) else {
            return Err(unknown("customers", name));
        };
        self.customers.remove(&id);
        Ok(())
    }

    fn remove_endpoint(&mut self, name: &str) -> Result<(), Refusal> {
        let Some(id) = self.endpoint_ids.remove(name) else {
            return Err(unknown("endpoints", name));
        };
        self.endpoints.remove(&id);
        Ok(())
    }

    fn set_leaving(&mut self, name: &str, leaving: bool) -> Result<(), Refusal> {
        let id = self.endpoint_ids.get(name).copied();
        match id.and_then(|id| self.endpoints.get_mut(&id)) {
            Some(endpoint) => {
                endpoint.leaving = leaving;
                Ok(())
            }
            None => Err(unknown("endpoints", name)),
        }
    }
}

fn unknown(kind: &str, name: &str) -> Refusal {
    refuse(format!("{kind}.{name}"), "is not declared", "check the name with 'config get'")
}
