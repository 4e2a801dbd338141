//! Which callers a configuration lets in.
//!
//! Guards against an empty list of tenants that is taken for a missing one: once the last tenant
//! was taken away, requests ran with any key or none.

use crate::fleet::{Fleet, configuration};
use crate::fleet_with;
use crate::http::call;
use crate::replica::{Behaviour, Replica};
use crate::{get, post, request};

/// A configuration whose list of tenants is this text, or that has none.
fn with_tenants(version: u64, tenants: Option<&str>) -> String {
    let text = configuration(version);
    let (before, _) = text.split_once(r#","tenants":"#).unwrap();
    let tenants = tenants.map(|tenants| format!(r#","tenants":{tenants}"#)).unwrap_or_default();
    format!("{before}{tenants}}}")
}

async fn assert_nobody_may_call(fleet: &Fleet, replica: &Replica) {
    let before = replica.seen().len();
    for (id, key) in [("k", "Api-Key: key-one\r\n"), ("n", "Api-Key: key-never\r\n"), ("o", "")] {
        let answer = call(fleet.front, &request("POST", "/once/x", id, key, "")).await;
        assert_eq!((answer.status, answer.body.as_str()), (401, "unknown_key"), "{key}");
    }
    assert_eq!(replica.seen().len(), before, "a request ran");
    assert_eq!(call(fleet.front, &get("/public/x", "p")).await.status, 200);
}

#[tokio::test]
async fn nobody_may_call_once_the_last_tenant_is_taken_away() {
    let (mut fleet, replicas) = fleet_with(&[Behaviour::Answer]).await;
    assert_eq!(call(fleet.front, &post("/once/x", "before", "")).await.status, 200);
    fleet.configure(&with_tenants(100, Some("[]"))).await;
    fleet.settle().await;
    assert_nobody_may_call(&fleet, &replicas[0]).await;
    // From the disk of the control host, and by the feed to a new router.
    fleet.kill_control();
    fleet.kill_router();
    fleet.start_control();
    fleet.start_router();
    fleet.register_in("a", &replicas[0], "ready", 10).await;
    fleet.wait_ready().await;
    assert_nobody_may_call(&fleet, &replicas[0]).await;
}

#[tokio::test]
async fn anyone_may_call_where_a_configuration_has_no_tenants() {
    let (fleet, _replicas) = fleet_with(&[Behaviour::Answer]).await;
    fleet.configure(&with_tenants(100, None)).await;
    fleet.settle().await;
    for (id, key) in [("n", "Api-Key: key-never\r\n"), ("o", "")] {
        let answer = call(fleet.front, &request("POST", "/once/x", id, key, "")).await;
        assert_eq!(answer.status, 200);
    }
}
