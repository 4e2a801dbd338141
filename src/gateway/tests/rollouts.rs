//! Requests of a router while a release is rolled out, over real sockets.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use axum::http::{Request, StatusCode};
use tokio::time::Duration;
use tokio_util::sync::CancellationToken;

use super::super::destination::Destination;
use super::super::exchange::{self, Attempt};
use super::super::request::{Call, run};
use super::super::rollouts::report;
use super::*;
use crate::clock::BootInstant;
use crate::quarantine::{Fingerprint, RequestProfile};
use crate::registry::Origin;
use crate::request_body::HeldBody;
use crate::rollout::{Grant, Grants, Order, Release, Report, Rollouts, Stage, Step};
use crate::settings::{GatewaySettings, HostSettings, RouterSettings};
use crate::testing::{peer_address, route, start_peers};
use crate::wire::Role;

/// An endpoint that answers every request with one status.
struct StubEndpoint {
    address: SocketAddr,
    served: Arc<AtomicUsize>,
}

impl StubEndpoint {
    async fn start(status: StatusCode) -> StubEndpoint {
        let served = Arc::new(AtomicUsize::new(0));
        let counter = served.clone();
        let answer = move || {
            counter.fetch_add(1, Ordering::Relaxed);
            std::future::ready(status)
        };
        let listener = tokio::net::TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
        let address = listener.local_addr().unwrap();
        let app = axum::Router::new().fallback(answer);
        tokio::spawn(async move { axum::serve(listener, app).await });
        StubEndpoint { address, served }
    }

    fn served(&self) -> usize {
        self.served.load(Ordering::Relaxed)
    }
}

/// A router without connection to any control host, and the rollout of `v2`.
struct Fleet {
    gateway: Arc<Gateway>,
    rollouts: Rollouts,
    term: u64,
}

impl Fleet {
    async fn start(host: u8, new: &StubEndpoint, old: &StubEndpoint) -> Fleet {
        let (peers, _) = start_peers(Role::Router, host, vec![]).await;
        let address = peer_address(host);
        let rules = GatewaySettings {
            ready: address,
            metrics: None,
            retry_budget: BudgetRules::default(),
            overload: OverloadRules::default(),
            least_routers: 1,
            stop_takes_ms: 0,
            stop_within_s: 1.0,
        };
        let settings = RouterSettings {
            host: HostSettings {
                name: "router".into(),
                id: None,
                hall: "a".into(),
                peer: address,
                seeds: vec![],
                advertise: None,
                seed_port: None,
                regions: Default::default(),
                heartbeats: Default::default(),
                file: None,
            },
            listen: address,
            operator: address,
            platform: None,
            dispatch: Default::default(),
            alone_routers: 1,
            max_body: 1_000,
            answers: Default::default(),
            requests: Default::default(),
            drain_ms: 0,
            rehearsal: false,
            gateway: None,
        };
        let stop = CancellationToken::new();
        let gateway = Gateway::new(settings, rules, peers, Arc::new(HeaderNames::native()), stop);
        let registration = |id: &str, version: &str, stub: &StubEndpoint| Registration {
            version: version.into(),
            address: Some(stub.address),
            ..endpoint(id)
        };
        let endpoints = [registration("new", "v2", new), registration("old", "v1", old)];
        gateway.registry.merge(endpoints, Origin::Relayed);
        let mut rollouts = Rollouts::default();
        rollouts.start(Order {
            service: "app".into(),
            version: "v2".into(),
            at_ms: 0,
            duration_ms: 10_000,
        });
        gateway.rollouts.adopt(rollouts.clone(), &gateway.registry);
        Fleet { gateway, rollouts, term: 0 }
    }

    fn grant(&mut self, permille: u32, valid_ms: u64) {
        self.term += 1;
        let grant = Grant { service: "app".into(), number: 1, permille, highest_order: u32::MAX };
        let grants = Grants { term: self.term, valid_ms, services: vec![grant] };
        self.gateway.rollouts.adopt_grants(self.gateway.now(), grants);
    }

    fn step(&mut self, stage: Stage) {
        self.rollouts.step(&Step { service: "app".into(), number: 1, stage, at_ms: 0 });
        self.gateway.rollouts.adopt(self.rollouts.clone(), &self.gateway.registry);
    }

    fn call(&self) -> Arc<Call> {
        let (parts, _) = Request::get("http://shop.example/").body(()).unwrap().into_parts();
        let now = BootInstant::now();
        let held = self.gateway.request_memory.hold("").expect("there is room");
        let body = HeldBody::new(Default::default(), held);
        Arc::new(Call {
            gateway: self.gateway.clone(),
            number: 1,
            route: route("all", "shop.example", "/"),
            service: "app".into(),
            is_engine: false,
            cold_per_second: None,
            customer: None,
            regions: Default::default(),
            routing_version: 0,
            head: Default::default(),
            parts,
            body,
            profile: RequestProfile::new(Fingerprint::of("", &["/"], &[]), "llm", []),
            arrived: now,
            deadline: now + Duration::from_secs(10),
            release_choice: Default::default(),
            stream: None,
            is_in_doubt: Default::default(),
            _in_flight: self.gateway.track_request(),
        })
    }

    async fn place(&self, call: &Call, tried: &[String]) -> Option<Registration> {
        match call.choose_destination(tried).await {
            Destination::Endpoint(endpoint, _) => Some(*endpoint),
            Destination::NoEndpoint | Destination::TooLate(_) => None,
        }
    }

    async fn version(&self, call: &Call) -> String {
        self.place(call, &[]).await.expect("a place").version
    }

    fn report(&self) -> Report {
        self.gateway.with_releases(|releases| releases.tally.take_report(&self.rollouts))
    }
}

async fn start_stubs(new: StatusCode, old: StatusCode) -> [StubEndpoint; 2] {
    [StubEndpoint::start(new).await, StubEndpoint::start(old).await]
}

/// A fraction in permille with which the first choice is almost always the new release.
const ALMOST_ALL_PERMILLE: u32 = 999;

/// A call that was assigned to the new release.
async fn call_for_new_release(fleet: &Fleet) -> Arc<Call> {
    loop {
        let call = fleet.call();
        if fleet.version(&call).await == "v2" {
            return call;
        }
    }
}

#[tokio::test]
async fn a_router_without_a_grant_sends_nothing_to_the_new_release() {
    let [new, old] = start_stubs(StatusCode::OK, StatusCode::OK).await;
    let mut fleet = Fleet::start(101, &new, &old).await;
    for _ in 0..50 {
        assert_eq!(run(fleet.call()).await.status(), StatusCode::OK);
    }
    assert_eq!((new.served(), old.served()), (0, 50));
    // If no endpoint of another release accepts requests, the new release serves them.
    let gone = Registration { state: EndpointState::Leaving, sequence: 2, ..endpoint("old") };
    fleet.gateway.registry.merge([gone], Origin::Relayed);
    assert_eq!(run(fleet.call()).await.status(), StatusCode::OK);
    // But not a release that was rolled back.
    fleet.step(Stage::RolledBack);
    assert_eq!(run(fleet.call()).await.status(), StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(new.served(), 1);
}

#[tokio::test]
async fn an_expired_grant_revokes_the_choice_of_the_new_release() {
    let [new, old] = start_stubs(StatusCode::OK, StatusCode::OK).await;
    let mut fleet = Fleet::start(102, &new, &old).await;
    fleet.grant(ALMOST_ALL_PERMILLE, 60_000);
    let call = call_for_new_release(&fleet).await;
    fleet.grant(ALMOST_ALL_PERMILLE, 0);
    assert_eq!(fleet.version(&call).await, "v1");
    assert_eq!(run(call).await.status(), StatusCode::OK);
    assert_eq!((new.served(), old.served()), (0, 1));
}

#[tokio::test]
async fn a_waiting_request_is_not_sent_to_a_release_that_was_rolled_back() {
    let [new, old] = start_stubs(StatusCode::OK, StatusCode::OK).await;
    let mut fleet = Fleet::start(103, &new, &old).await;
    fleet.grant(1_000, 60_000);
    let call = fleet.call();
    let endpoint = fleet.place(&call, &[]).await.unwrap();
    assert_eq!(endpoint.version, "v2");
    fleet.step(Stage::RolledBack);
    let attempt = exchange::attempt(&call, &endpoint, None, false).await;
    assert!(matches!(attempt, Attempt::NotSent));
    assert_eq!(new.served(), 0);
    assert_eq!(run(call).await.status(), StatusCode::OK);
    assert_eq!((new.served(), old.served()), (0, 1));
}

#[tokio::test]
async fn a_request_that_fails_at_the_new_release_is_answered_by_another() {
    let [new, old] = start_stubs(StatusCode::INTERNAL_SERVER_ERROR, StatusCode::OK).await;
    let mut fleet = Fleet::start(104, &new, &old).await;
    fleet.grant(ALMOST_ALL_PERMILLE, 60_000);
    let call = call_for_new_release(&fleet).await;
    assert_eq!(run(call).await.status(), StatusCode::OK);
    assert_eq!((new.served(), old.served()), (1, 1));
    let report = fleet.report();
    let answers_of = |release| {
        let tallies = &report.services[0].tallies;
        tallies.iter().find(|tally| tally.release == release).unwrap().answers.clone()
    };
    let (new, old) = (answers_of(Release::New), answers_of(Release::Old));
    assert_eq!((new.sent, new.failed, new.first_byte_times.len()), (1, 1, 0));
    assert_eq!((old.sent, old.failed, old.first_byte_times.len()), (1, 0, 1));
    assert_eq!(report.services[0].open_on_old, 0);
}

#[tokio::test]
async fn a_request_for_which_the_new_release_has_no_place_goes_to_another() {
    let [new, old] = start_stubs(StatusCode::OK, StatusCode::OK).await;
    let mut fleet = Fleet::start(105, &new, &old).await;
    for permille in [ALMOST_ALL_PERMILLE, 1_000] {
        fleet.grant(permille, 60_000);
        let call = call_for_new_release(&fleet).await;
        let other = fleet.place(&call, &["new".into()]).await.unwrap();
        assert_eq!(other.version, "v1");
    }
}

#[tokio::test]
async fn an_answer_is_resumed_only_on_its_own_release() {
    let [new, old] = start_stubs(StatusCode::OK, StatusCode::OK).await;
    let mut fleet = Fleet::start(106, &new, &old).await;
    fleet.grant(ALMOST_ALL_PERMILLE, 60_000);
    for (version, id) in [("v2", "new"), ("v1", "old")] {
        let call = fleet.call();
        call.bind(version);
        assert_eq!(fleet.version(&call).await, version);
        assert!(fleet.place(&call, &[id.into()]).await.is_none());
    }
    fleet.step(Stage::RolledBack);
    let call = fleet.call();
    call.bind("v2");
    assert!(fleet.place(&call, &[]).await.is_none());
}

#[tokio::test]
async fn an_unsent_report_is_kept() {
    let [new, old] = start_stubs(StatusCode::OK, StatusCode::OK).await;
    let fleet = Fleet::start(107, &new, &old).await;
    run(fleet.call()).await;
    // Without a leader the first report is put back before the task waits.
    let reporting = tokio::spawn(report(fleet.gateway.clone()));
    tokio::task::yield_now().await;
    reporting.abort();
    assert_eq!(fleet.report().services[0].tallies[0].answers.sent, 1);
}

#[tokio::test]
async fn a_run_on_an_old_release_is_open_until_its_answer_has_ended() {
    let [new, old] = start_stubs(StatusCode::OK, StatusCode::OK).await;
    let fleet = Fleet::start(108, &new, &old).await;
    let call = fleet.call();
    let endpoint = fleet.place(&call, &[]).await.unwrap();
    let pending = exchange::begin_attempt(&call, &endpoint, None, None).await;
    let pending = pending.unwrap_or_else(|_| panic!("it answers"));
    assert_eq!(fleet.report().services[0].open_on_old, 1);
    drop(pending);
    assert_eq!(fleet.report().services[0].open_on_old, 0);
}
