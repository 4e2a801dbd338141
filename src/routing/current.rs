//! The routing document in force in this process, indexed for look-ups.

use std::collections::HashMap;
use std::sync::{Arc, OnceLock};

use tokio::sync::watch;

use super::model::{Callers, CustomerKeys, Document, Route, RoutingTable, ServicePool};
use crate::error::{Error, Result};

/// A routing table with indexes for look-ups.
#[derive(Debug, Default)]
pub struct Routing {
    /// The table.
    pub table: RoutingTable,
    by_host: HashMap<String, Vec<usize>>,
    by_key: HashMap<String, usize>,
    by_service: HashMap<String, usize>,
    /// Indexes of routes and customers, sorted by name: 8 bytes each, whereas a map would
    /// store every name a second time.
    routes_by_name: Vec<usize>,
    customers_by_name: Vec<usize>,
    encoded: OnceLock<Arc<[u8]>>,
}

impl Routing {
    /// Builds the indexes.
    pub fn new(table: RoutingTable) -> Routing {
        let mut by_host: HashMap<String, Vec<usize>> = HashMap::new();
        for (index, route) in table.routes.iter().enumerate() {
            by_host.entry(route.host.clone()).or_default().push(index);
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|index| std::cmp::Reverse(table.routes[*index].prefix.len()));
        }
        let mut by_key = HashMap::new();
        for (index, customer) in table.callers.customers().iter().enumerate() {
            by_key.extend(customer.keys.iter().map(|key| (key.clone(), index)));
        }
        let services = table.services.iter().enumerate();
        let by_service = services.map(|(index, service)| (service.name.clone(), index)).collect();
        let routes_by_name = order_by(&table.routes, |route| &route.name);
        let customers_by_name = order_by(table.callers.customers(), |customer| &customer.name);
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

    /// The table as it is sent between hosts, encoded at the first use.
    pub fn encoded(&self) -> Arc<[u8]> {
        let encode = || postcard::to_stdvec(&self.table).expect("a table of plain values").into();
        self.encoded.get_or_init(encode).clone()
    }

    /// The route with the longest prefix of `path` among those of `host`.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let routes = self.by_host.get(host)?.iter().map(|index| &self.table.routes[*index]);
        routes.into_iter().find(|route| path.starts_with(&route.prefix))
    }

    /// The customer that `key` belongs to.
    pub fn customer_by_key(&self, key: &str) -> Option<&CustomerKeys> {
        self.by_key.get(key).map(|index| &self.table.callers.customers()[*index])
    }

    /// A route by name.
    pub fn route_by_name(&self, name: &str) -> Option<&Route> {
        find_by(&self.table.routes, &self.routes_by_name, name, |route| &route.name)
    }

    /// A customer by name.
    pub fn customer_by_name(&self, name: &str) -> Option<&CustomerKeys> {
        let customers = self.table.callers.customers();
        find_by(customers, &self.customers_by_name, name, |customer| &customer.name)
    }

    /// A service by name.
    pub fn service(&self, name: &str) -> Option<&ServicePool> {
        self.by_service.get(name).map(|index| &self.table.services[*index])
    }

    /// Whether callers need keys.
    pub fn needs_keys(&self) -> bool {
        self.table.callers != Callers::Anyone
    }
}

/// Indexes of the items, sorted by name.
fn order_by<T>(items: &[T], name_of: impl Fn(&T) -> &str) -> Vec<usize> {
    let mut order: Vec<_> = (0..items.len()).collect();
    order.sort_by_key(|index| name_of(&items[*index]));
    order
}

/// The first item with a name, by binary search in the sorted indexes.
fn find_by<'a, T>(
    items: &'a [T],
    order: &[usize],
    name: &str,
    name_of: impl Fn(&T) -> &str,
) -> Option<&'a T> {
    let position = order.partition_point(|index| name_of(&items[*index]) < name);
    order.get(position).map(|index| &items[*index]).filter(|item| name_of(item) == name)
}

/// The routing in force; its version never decreases.
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
    /// The routing in force; none before the first document.
    pub fn current(&self) -> Option<Arc<Routing>> {
        self.current.borrow().clone()
    }

    /// Subscribes to the routing in force.
    pub fn watch(&self) -> watch::Receiver<Option<Arc<Routing>>> {
        self.current.subscribe()
    }

    /// Puts a table in force that another host has encoded, if `version` is newer than the
    /// current one; only then the table is decoded.
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
            let is_newer = current.as_ref().is_none_or(|c| c.table.version < table.version);
            if is_newer {
                log::info!("routing: version {} is in force", table.version);
                *current = Some(Arc::new(Routing::new(table)));
            }
            is_newer
        });
    }
}
