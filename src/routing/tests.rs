use crate::region::AllowedRegions;
use std::sync::Arc;

use super::*;
use crate::testing::route;

fn table(version: u64, routes: Vec<Route>) -> RoutingTable {
    let service = ServicePool {
        name: "app".into(),
        health_path: "/".into(),
        max_connections: 10,
        engine: None,
        cold_per_second: None,
    };
    RoutingTable { version, routes, services: vec![service], ..RoutingTable::default() }
}

fn keys(name: &str, keys: &[&str]) -> CustomerKeys {
    let keys = keys.iter().map(|k| k.to_string()).collect();
    CustomerKeys { name: name.into(), keys, priority: None, regions: AllowedRegions::Anywhere }
}

#[test]
fn the_longest_prefix_of_the_host_wins() {
    let routes = vec![route("a", "x", "/p/"), route("b", "x", "/p/q/"), route("c", "y", "/")];
    let routing = Routing::new(table(1, routes));
    assert_eq!(routing.route("x", "/p/q/r").unwrap().name, "b");
    assert_eq!(routing.route("x", "/p/r").unwrap().name, "a");
    assert_eq!(routing.route("y", "/p/r").unwrap().name, "c");
    assert!(routing.route("x", "/").is_none());
    assert!(routing.route("z", "/p/").is_none());
}

#[test]
fn each_error_in_a_document_names_its_field() {
    assert!(table(1, vec![route("a", "x", "/p/")]).check().is_ok());
    let field_refused = |f: fn(&mut Route)| {
        let mut bad = route("a", "x", "/p/");
        f(&mut bad);
        table(1, vec![bad]).check().unwrap_err().field
    };
    assert_eq!(field_refused(|r| r.timeout_ms = 0), "routes.a.timeout_ms");
    assert_eq!(field_refused(|r| r.targets[0].weight = 0), "routes.a.targets");
    assert_eq!(field_refused(|r| r.targets[0].service = "gone".into()), "routes.a.targets");
    assert_eq!(field_refused(|r| r.targets.clear()), "routes.a.targets");
    assert_eq!(field_refused(|r| r.prefix = "p/".into()), "routes.a.prefix");
    let same = vec![route("a", "x", "/p/"), route("b", "x", "/p/")];
    assert_eq!(table(1, same).check().unwrap_err().field, "routes.b.prefix");
}

#[test]
fn two_customers_cannot_share_a_key() {
    let mut shared = table(1, vec![]);
    shared.callers = Callers::Customers(vec![keys("a", &["k1", "k2"]), keys("b", &["k2"])]);
    assert_eq!(shared.check().unwrap_err().field, "customers.b.keys");
    shared.callers = Callers::Customers(vec![keys("a", &["k1", "k2"]), keys("b", &["k3"])]);
    assert!(shared.check().is_ok());
    assert_eq!(Routing::new(shared).customer_by_key("k3").unwrap().name, "b");
}

#[test]
fn an_older_document_never_replaces_a_newer_one() {
    let current_routing = CurrentRouting::default();
    assert!(current_routing.current().is_none());
    current_routing.adopt_table(table(5, vec![]));
    current_routing.adopt_table(table(4, vec![route("a", "x", "/")]));
    current_routing
        .adopt(Arc::new(Document { table: table(5, vec![route("a", "x", "/")]), source: vec![] }));
    let current = current_routing.current().unwrap();
    assert_eq!((current.table.version, current.table.routes.len()), (5, 0));
    current_routing.adopt_table(table(7, vec![]));
    assert_eq!(current_routing.current().unwrap().table.version, 7);
}

#[test]
fn an_encoded_table_is_adopted_if_it_is_newer() {
    let sent = Routing::new(table(5, vec![route("a", "x", "/p/")]));
    let current_routing = CurrentRouting::default();
    current_routing.adopt_encoded(5, &sent.encoded()).unwrap();
    assert_eq!(current_routing.current().unwrap().table, sent.table);
    // A table whose version is already in force is not decoded.
    assert!(current_routing.adopt_encoded(5, b"").is_ok());
    assert!(current_routing.adopt_encoded(4, b"").is_ok());
    assert!(current_routing.adopt_encoded(6, b"").is_err());
    assert_eq!(current_routing.current().unwrap().table.version, 5);
}

#[test]
fn routes_and_customers_are_found_by_name_whatever_their_order() {
    let routes = ["c", "a", "b"].map(|name| route(name, name, "/"));
    let customers = ["z", "x", "y"].map(|name| keys(name, &[name])).to_vec();
    let callers = Callers::Customers(customers);
    let routing = Routing::new(RoutingTable { callers, ..table(1, routes.to_vec()) });
    for name in ["a", "b", "c"] {
        assert_eq!(routing.route_by_name(name).unwrap().name, name);
    }
    for name in ["x", "y", "z"] {
        assert_eq!(routing.customer_by_name(name).unwrap().name, name);
    }
    assert!(routing.route_by_name("x").is_none());
    assert!(routing.customer_by_name("zz").is_none());
    assert!(Routing::default().customer_by_name("x").is_none());
}
