//! Tests of the command line of the real binary, without a fleet.

use std::path::Path;
use std::process::{Command, Output};

fn run(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_bramblecrank")).args(arguments).output().unwrap()
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

#[test]
fn long_help_shows_examples() {
    let output = run(&["--help"]);
    assert!(output.status.success());
    let help = text(&output.stdout);
    for command in ["router", "control", "config", "explain", "load", "demo"] {
        assert!(help.contains(command), "{command} is missing");
    }
    assert!(help.contains("Examples:"));
}

#[test]
fn a_sample_site_passes_its_own_checks() {
    let folder = tempfile::tempdir().unwrap();
    let out = folder.path().to_str().unwrap();
    assert!(run(&["site", "bangkok", "--out", out]).status.success());
    for (file, kind) in [
        ("router-9.yaml", "router"),
        ("control-3.yaml", "control"),
        ("engine-10.yaml", "engine"),
        ("service-3.yaml", "service"),
        ("platform.yaml", "platform"),
        ("configuration.yaml", "configuration"),
    ] {
        let path = folder.path().join(file);
        let output = run(&["check", path.to_str().unwrap(), "--kind", kind]);
        assert!(output.status.success(), "{file}: {}", text(&output.stderr));
    }
}

#[test]
fn a_wrong_file_is_refused_with_file_line_field_and_remedy() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("site.yaml");
    std::fs::write(&path, "halls: [a]\ncustomers:\n  - {name: x, share: 0}\n").unwrap();
    let output = run(&["check", path.to_str().unwrap()]);
    assert!(!output.status.success());
    let stderr = text(&output.stderr);
    assert!(stderr.contains("customers.x.share") && stderr.contains("give at least 1"), "{stderr}");
    std::fs::write(&path, "halls: [a]\ncustmers: []\n").unwrap();
    let stderr = text(&run(&["check", path.to_str().unwrap()]).stderr);
    for part in ["site.yaml", "line 2", "custmers", "customers"] {
        assert!(stderr.contains(part), "{part} is missing: {stderr}");
    }
}

#[test]
fn a_missing_file_or_host_is_named() {
    let stderr = text(&run(&["router", "--settings", "no-such-file.yaml"]).stderr);
    assert!(stderr.contains("no-such-file.yaml"), "{stderr}");
    let stderr = text(&run(&["config", "get", "--to", "127.0.0.1:1"]).stderr);
    assert!(stderr.contains("127.0.0.1:1"), "{stderr}");
}

#[test]
fn results_compare_side_by_side() {
    let folder = tempfile::tempdir().unwrap();
    let report = bramblecrank::load::LoadReport { name: "before".into(), ..Default::default() };
    let path = folder.path().join("a.json");
    std::fs::write(&path, serde_json::to_string(&report).unwrap()).unwrap();
    let path = path.to_str().unwrap();
    let output = run(&["load", "compare", path, path]);
    assert!(output.status.success());
    assert!(text(&output.stdout).contains("fairness gap"));
    assert!(Path::new(path).exists());
}
