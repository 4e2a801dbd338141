//! Requests that are restricted to some regions, and unrestricted ones.

use std::time::Duration;

use crate::fleet::{Fleet, configuration};
use crate::http::call;
use crate::replica::{Behaviour, Replica};
use crate::{get, post};

/// Data hall `a`, which holds all hosts, is in one region, `b` in another.
const REGIONS: &str = r#"{ "a": "near", "b": "far" }"#;
/// Number of calls; with a random choice they would hardly ever all reach one of two replicas.
const CALLS: usize = 20;

struct Regions {
    fleet: Fleet,
    near: Replica,
    far: Replica,
}

async fn start(near: Behaviour, far: Behaviour) -> Regions {
    let fleet = Fleet::start_in_regions(REGIONS).await;
    let near = Replica::start("i-near", near).await;
    let far = Replica::start("i-far", far).await;
    fleet.register_in("a", &near, "ready", 1).await;
    fleet.register_in("b", &far, "ready", 1).await;
    fleet.configure(&configuration(1)).await;
    fleet.wait_ready().await;
    Regions { fleet, near, far }
}

/// A configuration that restricts all routes and the calling customer to regions.
fn restricted(version: u64, routes: &str, customer: &str) -> String {
    let text = configuration(version);
    let text = text.replace(r#""sticky""#, &format!(r#""allowedRegions":{routes},"sticky""#));
    text.replace(r#""name":"one","#, &format!(r#""name":"one","allowedRegions":{customer},"#))
}

impl Regions {
    async fn restrict(&self, version: u64, routes: &str, customer: &str) {
        self.fleet.configure(&restricted(version, routes, customer)).await;
        self.fleet.settle().await;
    }

    /// Number of requests that each replica has run.
    fn seen(&self) -> (usize, usize) {
        (self.near.seen().len(), self.far.seen().len())
    }

    /// Makes calls, all of which must be served; returns how many went to each replica.
    async fn calls(&self, name: &str) -> (usize, usize) {
        let before = self.seen();
        for number in 0..CALLS {
            let answer = call(self.fleet.front, &get("/safe/x", &format!("{name}{number}"))).await;
            assert_eq!(answer.status, 200, "{}", answer.body);
        }
        let after = self.seen();
        (after.0 - before.0, after.1 - before.1)
    }

    /// Sends a request that must be refused at once as not run, with a `Retry-After` header.
    async fn assert_refused(&self, id: &str) {
        let before = self.seen();
        let answer = call(self.fleet.front, &post("/once/x", id, "")).await;
        assert_eq!((answer.status, answer.body.as_str()), (503, "no_allowed_region"));
        assert!(answer.header("retry-after").is_some());
        assert_eq!(self.seen(), before, "it reached no replica");
    }
}

#[tokio::test]
async fn an_unrestricted_request_prefers_the_routers_own_region() {
    let regions = start(Behaviour::Answer, Behaviour::Answer).await;
    assert_eq!(regions.calls("own").await, (CALLS, 0));
}

#[tokio::test]
async fn an_unrestricted_request_goes_to_another_region_if_its_own_has_no_endpoint() {
    let regions = start(Behaviour::Answer, Behaviour::Answer).await;
    regions.fleet.deregister(&regions.near).await;
    regions.fleet.settle().await;
    assert_eq!(regions.calls("other").await, (0, CALLS));
    let sent_metric = r#"bramblecrank_gateway_sent_to_other_region_total{service="app"}"#;
    assert!(regions.fleet.metric(sent_metric).await >= CALLS as u64);
}

#[tokio::test]
async fn a_new_configuration_restricts_a_route_or_a_customer_at_once() {
    let regions = start(Behaviour::Answer, Behaviour::Answer).await;
    assert_eq!(regions.calls("free").await, (CALLS, 0));
    regions.restrict(101, r#"["far"]"#, "[]").await;
    assert_eq!(regions.calls("route").await, (0, CALLS));
    regions.restrict(201, "[]", r#"["far"]"#).await;
    assert_eq!(regions.calls("customer").await, (0, CALLS));
    regions.restrict(301, r#"["far","near"]"#, r#"["near"]"#).await;
    assert_eq!(regions.calls("both").await, (CALLS, 0));
}

#[tokio::test]
async fn a_request_without_a_common_region_of_route_and_customer_is_refused_as_not_run() {
    let regions = start(Behaviour::Answer, Behaviour::Answer).await;
    regions.restrict(101, r#"["far"]"#, r#"["near"]"#).await;
    regions.assert_refused("nowhere").await;
    let refused =
        r#"bramblecrank_gateway_requests_total{outcome="no_allowed_region",service="app"}"#;
    assert!(regions.fleet.metric(refused).await >= 1);
}

#[tokio::test]
async fn a_region_without_halls_is_accepted_and_its_requests_are_refused_as_not_run() {
    let regions = start(Behaviour::Answer, Behaviour::Answer).await;
    regions.restrict(101, r#"["planned"]"#, "[]").await;
    regions.assert_refused("planned").await;
}

#[tokio::test]
async fn a_request_to_a_region_without_endpoints_is_refused_as_not_run() {
    let regions = start(Behaviour::Answer, Behaviour::Answer).await;
    regions.restrict(101, r#"["near"]"#, "[]").await;
    regions.fleet.deregister(&regions.near).await;
    regions.fleet.settle().await;
    regions.assert_refused("gone").await;
}

#[tokio::test]
async fn a_restricted_request_is_not_retried_in_another_region() {
    let regions = start(Behaviour::Fail, Behaviour::Answer).await;
    // Without a restriction the other region answers it.
    assert_eq!(call(regions.fleet.front, &get("/safe/x", "free")).await.status, 200);
    let (_, far) = regions.seen();
    assert!(far > 0);
    regions.restrict(101, r#"["near"]"#, "[]").await;
    for number in 0..CALLS {
        let answer = call(regions.fleet.front, &get("/safe/x", &format!("r{number}"))).await;
        assert_eq!(answer.status, 500);
    }
    assert_eq!(regions.seen().1, far);
}

#[tokio::test]
async fn a_restricted_stream_is_not_resumed_in_another_region() {
    let pause = Duration::from_millis(2);
    let regions = start(Behaviour::BreakStream, Behaviour::Stream { events: 5, pause }).await;
    let answer = call(regions.fleet.front, &post("/resumable/x", "free", "")).await;
    assert!(answer.complete, "without a restriction it is resumed in the other region");
    let (_, far) = regions.seen();
    assert!(far > 0);
    regions.restrict(101, r#"["near"]"#, "[]").await;
    let answer = call(regions.fleet.front, &post("/resumable/x", "bound", "")).await;
    assert!(!answer.complete);
    assert_eq!(regions.seen().1, far);
}

#[tokio::test]
async fn a_router_without_a_control_host_still_respects_regions() {
    let mut regions = start(Behaviour::Answer, Behaviour::Answer).await;
    regions.restrict(101, r#"["far"]"#, "[]").await;
    regions.fleet.kill_control();
    assert_eq!(regions.calls("alone").await, (0, CALLS));
}
