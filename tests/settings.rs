//! `docs/SETTINGS.md` names every field of the settings and the configuration.

use std::path::Path;

use bramblecrank::site::SampleSite;
use serde_json::Value;

/// Names of all fields in a value, at any depth.
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

#[test]
fn every_field_stands_on_the_page() {
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
    names.extend(["remove_customers".into(), "remove_endpoints".into()]);
    for name in names {
        let found = [format!("`{name}`"), format!(".{name}`"), format!("`{name}[]")];
        assert!(found.iter().any(|f| page.contains(f)), "'{name}' is not on docs/SETTINGS.md");
    }
}
