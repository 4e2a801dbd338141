//! The document in force in this process, compiled for look-ups.

use std::collections::HashMap;
use std::sync::{Arc, OnceLock};

use tokio::sync::watch;

use super::model::{CustomerKeys, Document, Route, RoutingTable, ServicePool};
use crate::error::{Error, Result};

/// A routing table with indexes.
#[derive(Debug, Default)]
pub struct Routing {
    /// The table.
    pub table: RoutingTable,
    by_host: HashMap<String, Vec<usize>>,
    by_key: HashMap<String, usize>,
    by_service: HashMap<String, usize>,
    /// Routes and customers in the order of their names: 8 bytes each, where a map would
    /// hold all names again.
    routes_by_name: Vec<usize>,
    customers_by_name: Vec<usize>,
    encoded: OnceLock<Arc<[u8]>>,
}

impl Routing {
    /// Builds the indexes.
    pub fn new(table: RoutingTable) -> Routing {
        let mut by_host: HashMap<String, Vec<usize>> = HashMap::new();
        for (at, route) in table.routes.iter().enumerate() {
            by_host.entry(route.host.clone()).or_default().push(at);
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|at| std::cmp::Reverse(table.routes[*at].prefix.len()));
        }
        let mut by_key = HashMap::new();
        for (at, customer) in table.customers.iter().enumerate() {
            by_key.extend(customer.keys.iter().map(|key| (key.clone(), at)));
        }
        let services = table.services.iter().enumerate();
        let by_service = services.map(|(at, service)| (service.name.clone(), at)).collect();
        let routes_by_name = order_by(&table.routes, |route| &route.name);
        let customers_by_name = order_by(&table.customers, |customer| &customer.name);
        Routing {
            table,
            by_host,
            by_key,
            by_service,
            routes_by_name,
            customers_by_name,
            encoded: OnceLock::new(),
        }
    }

    /// The table as it travels between hosts, encoded at the first use.
    pub fn encoded(&self) -> Arc<[u8]> {
        let encode = || postcard::to_stdvec(&self.table).expect("a table of plain values").into();
        self.encoded.get_or_init(encode).clone()
    }

    /// The route with the longest prefix of `path` among those of `host`.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let routes = self.by_host.get(host)?.iter().map(|at| &self.table.routes[*at]);
        routes.into_iter().find(|route| path.starts_with(&route.prefix))
    }

    /// The customer that holds `key`.
    pub fn customer_by_key(&self, key: &str) -> Option<&CustomerKeys> {
        self.by_key.get(key).map(|at| &self.table.customers[*at])
    }

    /// A route by name.
    pub fn route_by_name(&self, name: &str) -> Option<&Route> {
        find_by(&self.table.routes, &self.routes_by_name, name, |route| &route.name)
    }

    /// A customer by name.
    pub fn customer_by_name(&self, name: &str) -> Option<&CustomerKeys> {
        let customers = &self.table.customers;
        find_by(customers, &self.customers_by_name, name, |customer| &customer.name)
    }

    /// A service by name.
    pub fn service(&self, name: &str) -> Option<&ServicePool> {
        self.by_service.get(name).map(|at| &self.table.services[*at])
    }

    /// Whether callers need keys at all.
    pub fn needs_keys(&self) -> bool {
        !self.table.customers.is_empty()
    }
}

/// The places of items in the order of their names.
fn order_by<T>(items: &[T], name_of: impl Fn(&T) -> &str) -> Vec<usize> {
    let mut order: Vec<_> = (0..items.len()).collect();
    order.sort_by_key(|at| name_of(&items[*at]));
    order
}

/// The first item of a name, by the order of names.
fn find_by<'a, T>(
    items: &'a [T],
    order: &[usize],
    name: &str,
    name_of: impl Fn(&T) -> &str,
) -> Option<&'a T> {
    let at = order.partition_point(|at| name_of(&items[*at]) < name);
    order.get(at).map(|at| &items[*at]).filter(|item| name_of(item) == name)
}

/// The routing in force, which only ever moves to a higher version.
#[derive(Debug)]
pub struct CurrentRouting {
    current: watch::Sender<Option<Arc<Routing>>>,
}

impl Default for CurrentRouting {
    fn default() -> Self {
        CurrentRouting { current: watch::Sender::new(None) }
    }
}

impl CurrentRouting {
    /// What is in force; none before the first document.
    pub fn current(&self) -> Option<Arc<Routing>> {
        self.current.borrow().clone()
    }

    /// What is in force, now and as it changes.
    pub fn watch(&self) -> watch::Receiver<Option<Arc<Routing>>> {
        self.current.subscribe()
    }

    /// Puts a table in force that another host has encoded, if it is newer; only
    /// then it is decoded.
    pub fn adopt_encoded(&self, version: u64, encoded: &[u8]) -> Result<()> {
        if self.current().is_some_and(|current| current.table.version >= version) {
            return Ok(());
        }
        let table = postcard::from_bytes(encoded).map_err(|source| Error::Frame { source })?;
        self.adopt_table(table);
        Ok(())
    }

    /// Puts an agreed document in force, if it is newer.
    pub fn adopt(&self, document: Arc<Document>) {
        self.adopt_table(document.table.clone());
    }

    /// Puts an agreed table in force, if it is newer.
    pub fn adopt_table(&self, table: RoutingTable) {
        self.current.send_if_modified(|current| {
            let newer = current.as_ref().is_none_or(|c| c.table.version < table.version);
            if newer {
                log::info!("routing: version {} is in force", table.version);
                *current = Some(Arc::new(Routing::new(table)));
            }
            newer
        });
    }
}
