//! Checks that `docs/SETTINGS.md` documents every field of the settings and the configuration.

use std::path::Path;

use bramblecrank::answer::AnswerLimits;
use bramblecrank::gateway::{BudgetRules, OverloadRules};
use bramblecrank::placement::PlacementRules;
use bramblecrank::request_body::RequestLimits;
use bramblecrank::rollout::RolloutRules;
use bramblecrank::settings::GatewaySettings;
use bramblecrank::site::SampleSite;
use serde_json::Value;

/// Appends the names of all fields in a value, at any depth.
fn fields(value: &Value, names: &mut Vec<String>) {
    match value {
        Value::Object(map) => {
            for (name, inner) in map {
                names.push(name.clone());
                fields(inner, names);
            }
        }
        Value::Array(list) => list.iter().for_each(|inner| fields(inner, names)),
        _ => {}
    }
}

fn gateway() -> GatewaySettings {
    GatewaySettings {
        ready: ([127, 0, 0, 1], 1).into(),
        metrics: None,
        retry_budget: BudgetRules::default(),
        overload: OverloadRules::default(),
        least_routers: 1,
        stop_takes_ms: 1,
        stop_within_s: 1.0,
    }
}

#[test]
fn every_field_is_documented() {
    let page = Path::new(env!("CARGO_MANIFEST_DIR")).join("docs/SETTINGS.md");
    let page = std::fs::read_to_string(page).unwrap();
    let files = SampleSite::Perak.plan(20_000, Path::new("data")).files();
    let mut names = Vec::new();
    for value in [
        serde_json::to_value(&files.routers[0]).unwrap(),
        serde_json::to_value(&files.controls[0]).unwrap(),
        serde_json::to_value(&files.engines[0]).unwrap(),
        serde_json::to_value(&files.services[0]).unwrap(),
        serde_json::to_value(&files.platform).unwrap(),
        serde_json::to_value(&files.configuration).unwrap(),
    ] {
        fields(&value, &mut names);
    }
    for value in [
        serde_json::to_value(gateway()).unwrap(),
        serde_json::to_value(AnswerLimits::default()).unwrap(),
        serde_json::to_value(RequestLimits { held_bytes: Some(1) }).unwrap(),
        serde_json::to_value(PlacementRules::default()).unwrap(),
        serde_json::to_value(RolloutRules::default()).unwrap(),
    ] {
        fields(&value, &mut names);
    }
    let omitted_by_default = [
        "remove_customers",
        "remove_endpoints",
        "answers",
        "seed_port",
        "heartbeats",
        "found_with_seeds",
        "tolerated_losses",
        "wait_for_disk",
        "descriptors",
        "platform",
        "placement",
        "gateway",
    ];
    names.extend(omitted_by_default.map(String::from));
    for name in names {
        let found = [format!("`{name}`"), format!(".{name}`"), format!("`{name}[]")];
        assert!(
            found.iter().any(|f| page.contains(f)),
            "'{name}' is not documented in docs/SETTINGS.md"
        );
    }
}
