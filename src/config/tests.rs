use super::*;

fn document() -> Document {
    serde_saphyr::from_str(
        "halls: [a]\nservices: [{name: llm}]\ncustomers: [{name: c, share: 2}]\n\
         endpoints: [{name: e, service: llm, hall: a, address: '127.0.0.1:1', slots: 4}]\n",
    )
    .unwrap()
}

#[test]
fn a_document_survives_the_round_trip() {
    let config = Config::default().apply(&document().changes()).unwrap();
    let again = Config::default().apply(&Document::of(&config).changes()).unwrap();
    assert_eq!(config, again);
    assert_eq!(config.version, 1);
}

#[test]
fn a_refused_change_changes_nothing() {
    let config = Config::default();
    let mut changes = document().changes();
    changes.push(Change::RemoveCustomer("nobody".into()));
    let refusal = config.apply(&changes).unwrap_err();
    assert_eq!(refusal.field, "customers.nobody");
    assert_eq!(config, Config::default());
}

#[test]
fn each_wrong_field_is_named_with_a_remedy() {
    let mut wrong = document();
    wrong.endpoints[0].address = "localhost:1".into();
    let refusal = Config::default().apply(&wrong.changes()).unwrap_err();
    assert_eq!(refusal.field, "endpoints.e.address");
    let mut wrong = document();
    wrong.customers[0].share = 0;
    let refusal = Config::default().apply(&wrong.changes()).unwrap_err();
    assert_eq!(refusal.field, "customers.c.share");
    assert!(!refusal.remedy.is_empty());
}

#[test]
fn numbers_are_never_reused() {
    let one = Config::default().apply(&document().changes()).unwrap();
    let two = one.apply(&[Change::RemoveCustomer("c".into())]).unwrap();
    let three = two.apply(&document().changes()).unwrap();
    assert_ne!(one.customer_id("c"), three.customer_id("c"));
}

#[test]
fn run_once_rules_match_by_method_and_prefix() {
    let service = Service {
        run_once: vec![RunOnceRule { method: "POST".into(), path: "/holds".into() }],
        ..document().services[0].clone()
    };
    assert!(service.runs_once("POST", "/holds/7"));
    assert!(!service.runs_once("GET", "/holds/7"));
    assert!(!service.runs_once("POST", "/fares"));
}

fn history(versions: u32) -> History {
    let mut history = History::default();
    history.advance(document().changes()).unwrap();
    for n in 1..versions {
        let customer = Customer { name: format!("c{n}"), ..document().customers[0].clone() };
        history.advance(vec![Change::PutCustomer(customer)]).unwrap();
    }
    history
}

#[test]
fn deltas_lead_from_any_version_to_the_newest() {
    let newest = history(10);
    for held_version in 0..10 {
        let mut behind = if held_version == 0 { History::default() } else { history(held_version) };
        assert!(behind.adopt(newest.since(u64::from(held_version))));
        assert_eq!(behind.config(), newest.config());
    }
}

#[test]
fn a_lower_or_equal_version_is_never_adopted() {
    let mut newest = history(10);
    let older = Config::clone(history(9).config());
    assert!(!newest.adopt(crate::wire::PullResponse::Snapshot(Box::new(older))));
    assert!(!newest.adopt(history(10).since(3)));
    assert_eq!(newest.config().version, 10);
}

#[test]
fn a_process_too_far_behind_gets_a_snapshot() {
    let newest = History::starting_from(Config::clone(history(10).config()));
    assert!(matches!(newest.since(3), crate::wire::PullResponse::Snapshot(_)));
}
