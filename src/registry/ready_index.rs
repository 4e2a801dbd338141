//! The endpoints that are ready, by service, without I/O.

use std::collections::{BTreeSet, HashMap};

use crate::eligibility::order_of;

/// The ids of the endpoints of each service that are ready, in the order of [`order_of`].
#[derive(Clone, Debug, Default)]
pub(super) struct ReadyIndex {
    by_service: HashMap<String, BTreeSet<(u32, String)>>,
}

impl ReadyIndex {
    /// Moves an endpoint from the list of one service to that of another; `None` for no list.
    pub fn relist(&mut self, id: &str, from: Option<String>, to: Option<String>) {
        let entry = (order_of(id), id.to_string());
        if let Some(from) = from
            && let Some(listed) = self.by_service.get_mut(&from)
        {
            listed.remove(&entry);
            if listed.is_empty() {
                self.by_service.remove(&from);
            }
        }
        if let Some(to) = to {
            self.by_service.entry(to).or_default().insert(entry);
        }
    }

    /// The ids of a service's endpoints that follow `start` in the order, which begins again at
    /// its end.
    pub fn ids_from<'a>(
        &'a self,
        service: &str,
        start: u32,
    ) -> impl Iterator<Item = &'a String> + use<'a> {
        let from = (start, String::new());
        let listed = self.by_service.get(service).into_iter();
        let ordered =
            listed.flat_map(move |l| l.range(from.clone()..).chain(l.range(..from.clone())));
        ordered.map(|(_, id)| id)
    }

    /// The number of a service's endpoints.
    pub fn len(&self, service: &str) -> usize {
        self.by_service.get(service).map_or(0, BTreeSet::len)
    }
}
