//! Requests that may be served in some regions only, and those that may go anywhere.

use std::time::Duration;

use crate::fleet::{Fleet, configuration};
use crate::http::call;
use crate::replica::{Behaviour, Replica};
use crate::{get, post};

/// Data hall `a`, where the hosts stand, is in one region, `b` in another.
const REGIONS: &str = r#"{ "a": "near", "b": "far" }"#;
/// Calls in a row: by chance alone they would hardly all go to one of two replicas.
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

/// The configuration with all routes, and the calling customer, bound to regions.
fn bound(version: u64, routes: &str, customer: &str) -> String {
    let text = configuration(version);
    let text = text.replace(r#""sticky""#, &format!(r#""allowedRegions":{routes},"sticky""#));
    text.replace(r#""name":"one","#, &format!(r#""name":"one","allowedRegions":{customer},"#))
}

impl Regions {
    async fn bind(&self, version: u64, routes: &str, customer: &str) {
        self.fleet.configure(&bound(version, routes, customer)).await;
        self.fleet.settle().await;
    }

    /// Requests that each replica has seen.
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

    /// A call that must be refused at once as not run, with when to come back.
    async fn is_refused(&self, id: &str) {
        let before = self.seen();
        let answer = call(self.fleet.front, &post("/once/x", id, "")).await;
        assert_eq!((answer.status, answer.body.as_str()), (503, "no_allowed_region"));
        assert!(answer.header("retry-after").is_some());
        assert_eq!(self.seen(), before, "it reached nobody");
    }
}

#[tokio::test]
async fn what_may_go_anywhere_goes_to_the_routers_own_region() {
    let regions = start(Behaviour::Answer, Behaviour::Answer).await;
    assert_eq!(regions.calls("own").await, (CALLS, 0));
}

#[tokio::test]
async fn what_may_go_anywhere_goes_to_another_region_where_its_own_has_no_endpoint() {
    let regions = start(Behaviour::Answer, Behaviour::Answer).await;
    regions.fleet.deregister(&regions.near).await;
    regions.fleet.settle().await;
    assert_eq!(regions.calls("other").await, (0, CALLS));
    let across = r#"bramblecrank_gateway_sent_to_other_region_total{service="app"}"#;
    assert!(regions.fleet.metric(across).await >= CALLS as u64);
}

#[tokio::test]
async fn a_route_or_a_customer_is_bound_as_soon_as_the_configuration_says_so() {
    let regions = start(Behaviour::Answer, Behaviour::Answer).await;
    assert_eq!(regions.calls("free").await, (CALLS, 0));
    regions.bind(101, r#"["far"]"#, "[]").await;
    assert_eq!(regions.calls("route").await, (0, CALLS));
    regions.bind(201, "[]", r#"["far"]"#).await;
    assert_eq!(regions.calls("customer").await, (0, CALLS));
    regions.bind(301, r#"["far","near"]"#, r#"["near"]"#).await;
    assert_eq!(regions.calls("both").await, (CALLS, 0));
}

#[tokio::test]
async fn where_route_and_customer_agree_on_no_region_a_request_is_refused_as_not_run() {
    let regions = start(Behaviour::Answer, Behaviour::Answer).await;
    regions.bind(101, r#"["far"]"#, r#"["near"]"#).await;
    regions.is_refused("nowhere").await;
    let refused =
        r#"bramblecrank_gateway_requests_total{outcome="no_allowed_region",service="app"}"#;
    assert!(regions.fleet.metric(refused).await >= 1);
}

#[tokio::test]
async fn a_region_that_no_hall_belongs_to_is_taken_and_its_requests_are_refused_as_not_run() {
    let regions = start(Behaviour::Answer, Behaviour::Answer).await;
    regions.bind(101, r#"["planned"]"#, "[]").await;
    regions.is_refused("planned").await;
}

#[tokio::test]
async fn where_no_endpoint_is_left_in_the_region_a_request_is_refused_as_not_run() {
    let regions = start(Behaviour::Answer, Behaviour::Answer).await;
    regions.bind(101, r#"["near"]"#, "[]").await;
    regions.fleet.deregister(&regions.near).await;
    regions.fleet.settle().await;
    regions.is_refused("gone").await;
}

#[tokio::test]
async fn a_bound_request_is_not_sent_again_to_another_region() {
    let regions = start(Behaviour::Fail, Behaviour::Answer).await;
    // Unbound, the other region answers it.
    assert_eq!(call(regions.fleet.front, &get("/safe/x", "free")).await.status, 200);
    let (_, far) = regions.seen();
    assert!(far > 0);
    regions.bind(101, r#"["near"]"#, "[]").await;
    for number in 0..CALLS {
        let answer = call(regions.fleet.front, &get("/safe/x", &format!("r{number}"))).await;
        assert_eq!(answer.status, 500);
    }
    assert_eq!(regions.seen().1, far);
}

#[tokio::test]
async fn a_bound_stream_is_not_taken_up_in_another_region() {
    let pause = Duration::from_millis(2);
    let regions = start(Behaviour::BreakStream, Behaviour::Stream { events: 5, pause }).await;
    let answer = call(regions.fleet.front, &post("/resumable/x", "free", "")).await;
    assert!(answer.complete, "unbound, it goes on in the other region");
    let (_, far) = regions.seen();
    assert!(far > 0);
    regions.bind(101, r#"["near"]"#, "[]").await;
    let answer = call(regions.fleet.front, &post("/resumable/x", "bound", "")).await;
    assert!(!answer.complete);
    assert_eq!(regions.seen().1, far);
}

#[tokio::test]
async fn a_router_whose_control_host_is_gone_keeps_to_the_regions() {
    let mut regions = start(Behaviour::Answer, Behaviour::Answer).await;
    regions.bind(101, r#"["far"]"#, "[]").await;
    regions.fleet.kill_control();
    assert_eq!(regions.calls("alone").await, (0, CALLS));
}
