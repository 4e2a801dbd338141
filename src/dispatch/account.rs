//! A customer's virtual counter and its waiting requests.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use super::Millis;
use crate::config::CustomerId;
use crate::wire::HostId;

/// Virtual units for one unit of service at share 1.
pub const VIRTUAL_SCALE: u64 = 1_000;
/// Weight of the newest request in the mean output.
const OUTPUT_WEIGHT: f64 = 0.2;

/// A request waiting for a grant.
#[derive(Clone, Debug)]
pub(super) struct Waiting {
    pub seq: u64,
    pub input: u32,
    pub arrival: u64,
    pub since: Millis,
    pub start_by: Millis,
    pub prefix: Vec<u32>,
}

/// What the dispatcher knows of one customer.
#[derive(Clone, Debug, Default)]
pub(super) struct Account {
    /// Service received over share, in virtual units.
    pub counter: u64,
    /// Waiting requests by router, oldest first.
    pub queues: BTreeMap<HostId, VecDeque<Waiting>>,
    /// Requests in all queues.
    pub waiting: u32,
    /// Input units in all queues.
    pub waiting_input: u64,
    /// Since when it has been backlogged without a break.
    pub backlogged_since: Option<Millis>,
    /// Mean units of output of its requests.
    pub mean_output: Option<f64>,
    /// Whether its counter is comparable with the others' during recovery.
    pub known: bool,
}

impl Account {
    /// Router and arrival of the oldest request of each queue, oldest first.
    pub fn heads(&self) -> Vec<HostId> {
        let head = |(router, queue): (&HostId, &VecDeque<Waiting>)| {
            queue.front().map(|w| (w.arrival, *router))
        };
        let mut heads: Vec<_> = self.queues.iter().filter_map(head).collect();
        heads.sort_unstable();
        heads.into_iter().map(|(_, router)| router).collect()
    }

    /// Learns the output of an answered request.
    pub fn learn_output(&mut self, units: u32) {
        self.mean_output = Some(blend(self.mean_output, units));
    }
}

/// Moves `mean` towards `units`.
pub(super) fn blend(mean: Option<f64>, units: u32) -> f64 {
    match mean {
        Some(mean) => mean + OUTPUT_WEIGHT * (f64::from(units) - mean),
        None => f64::from(units),
    }
}

/// All accounts, with the backlogged ones in order of their counters.
#[derive(Clone, Debug, Default)]
pub(super) struct Accounts {
    by_id: BTreeMap<CustomerId, Account>,
    backlog: BTreeSet<(u64, CustomerId)>,
    /// The counter of the customer served last; a floor for newcomers.
    virtual_time: u64,
}

impl Accounts {
    pub fn get(&self, id: CustomerId) -> Option<&Account> {
        self.by_id.get(&id)
    }

    pub fn entry(&mut self, id: CustomerId) -> &mut Account {
        self.by_id.entry(id).or_default()
    }

    /// Backlogged customers, least served first.
    pub fn backlogged(&self) -> impl Iterator<Item = (CustomerId, &Account)> {
        self.backlog.iter().map(|(_, id)| (*id, &self.by_id[id]))
    }

    pub fn backlogged_count(&self) -> usize {
        self.backlog.len()
    }

    pub fn iter(&self) -> impl Iterator<Item = (CustomerId, &Account)> {
        self.by_id.iter().map(|(id, account)| (*id, account))
    }

    /// The least counter among backlogged customers, or that served last.
    pub fn floor(&self) -> u64 {
        let least = self.backlog.first().map(|(counter, _)| *counter);
        least.unwrap_or(self.virtual_time)
    }

    /// Notes that a customer with this counter is served.
    pub fn advance(&mut self, counter: u64) {
        self.virtual_time = self.virtual_time.max(counter);
    }

    /// Queues a request. A customer back from idle is lifted to the floor, so
    /// that idleness earns nothing; not while the floor is still being learned.
    pub fn push(
        &mut self,
        now: Millis,
        id: CustomerId,
        router: HostId,
        request: Waiting,
        lift: bool,
    ) {
        let floor = if lift { self.floor() } else { 0 };
        let account = self.by_id.entry(id).or_default();
        if account.waiting == 0 {
            account.counter = account.counter.max(floor);
            account.backlogged_since = Some(now);
            self.backlog.insert((account.counter, id));
        }
        account.waiting += 1;
        account.waiting_input += u64::from(request.input);
        account.queues.entry(router).or_default().push_back(request);
    }

    /// Takes the oldest request of a customer's queue for a router.
    pub fn pop(&mut self, id: CustomerId, router: HostId) -> Option<Waiting> {
        let account = self.by_id.get_mut(&id)?;
        let queue = account.queues.get_mut(&router)?;
        let request = queue.pop_front()?;
        self.forget(id, router, &[&request]);
        Some(request)
    }

    /// Takes those requests of a queue for which `leave` says so.
    pub fn remove_if(
        &mut self,
        id: CustomerId,
        router: HostId,
        mut leave: impl FnMut(&Waiting) -> bool,
    ) -> Vec<Waiting> {
        let Some(account) = self.by_id.get_mut(&id) else {
            return Vec::new();
        };
        let Some(queue) = account.queues.get_mut(&router) else {
            return Vec::new();
        };
        let (left, kept): (Vec<_>, Vec<_>) = queue.drain(..).partition(|w| leave(w));
        queue.extend(kept);
        self.forget(id, router, &left.iter().collect::<Vec<_>>());
        left
    }

    fn forget(&mut self, id: CustomerId, router: HostId, requests: &[&Waiting]) {
        let Some(account) = self.by_id.get_mut(&id) else {
            return;
        };
        account.waiting -= requests.len() as u32;
        account.waiting_input -= requests.iter().map(|w| u64::from(w.input)).sum::<u64>();
        if account.queues.get(&router).is_some_and(VecDeque::is_empty) {
            account.queues.remove(&router);
        }
        if account.waiting == 0 {
            account.backlogged_since = None;
            self.backlog.remove(&(account.counter, id));
        }
    }

    /// Drops every request of a router.
    pub fn drop_router(&mut self, router: HostId) {
        let of_router =
            |(id, a): (&CustomerId, &Account)| a.queues.contains_key(&router).then_some(*id);
        let ids: Vec<_> = self.by_id.iter().filter_map(of_router).collect();
        for id in ids {
            self.remove_if(id, router, |_| true);
        }
    }

    /// Sets a customer's counter.
    pub fn set_counter(&mut self, id: CustomerId, counter: u64) {
        let account = self.by_id.entry(id).or_default();
        let before = account.counter;
        account.counter = counter;
        if account.waiting > 0 {
            self.backlog.remove(&(before, id));
            self.backlog.insert((counter, id));
        }
    }

    /// Lifts backlogged customers without a known counter to the least known.
    pub fn settle_recovery(&mut self) {
        let known = self.by_id.values().filter(|a| a.known && a.waiting > 0);
        let floor = known.map(|a| a.counter).min().unwrap_or(0);
        let strangers: Vec<_> = self
            .by_id
            .iter()
            .filter(|(_, a)| !a.known && a.counter < floor)
            .map(|(id, _)| *id)
            .collect();
        for id in strangers {
            self.set_counter(id, floor);
        }
        self.by_id.values_mut().for_each(|a| a.known = true);
    }
}
