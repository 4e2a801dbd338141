use std::path::Path;

use super::*;
use crate::config::Config;
use crate::settings::{self, ControlSettings, RouterSettings};

#[test]
fn both_sites_have_valid_files() {
    for sample in [SampleSite::Perak, SampleSite::Bangkok] {
        let site = sample.plan(20_000, Path::new("data"));
        let files = site.files();
        let config = Config::default().apply(&files.configuration.changes()).unwrap();
        assert_eq!(config.endpoints.len(), 13);
        assert_eq!(config.customers.len(), 10);
        let folder = tempfile::tempdir().unwrap();
        files.write(folder.path()).unwrap();
        let router: RouterSettings = settings::read(&folder.path().join("router-1.yaml")).unwrap();
        assert_eq!(router, files.routers[0]);
        router.check().unwrap();
        let control: ControlSettings =
            settings::read(&folder.path().join("control-1.yaml")).unwrap();
        assert_eq!(control, files.controls[0]);
        control.check().unwrap();
    }
}

#[test]
fn an_unknown_field_is_refused_with_file_and_line() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("platform.yaml");
    std::fs::write(&path, "listen: 127.0.0.1:1\nlagg_ms: 3\n").unwrap();
    let error = settings::read::<settings::PlatformSettings>(&path).unwrap_err().to_string();
    assert!(error.contains("platform.yaml"), "{error}");
    assert!(error.contains("lagg_ms") && error.contains("line 2"), "{error}");
    assert!(error.contains("lag_ms"), "no remedy: {error}");
}

#[test]
fn the_committed_sites_match_their_plans() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("examples/sites");
    for (sample, name) in [(SampleSite::Perak, "perak"), (SampleSite::Bangkok, "bangkok")] {
        let data = Path::new("examples/sites").join(name).join("data");
        let folder = tempfile::tempdir().unwrap();
        sample.plan(20_000, &data).files().write(folder.path()).unwrap();
        for file in std::fs::read_dir(folder.path()).unwrap() {
            let file = file.unwrap();
            let generated = std::fs::read_to_string(file.path()).unwrap();
            let committed = root.join(name).join(file.file_name());
            let committed = std::fs::read_to_string(&committed).unwrap_or_default();
            assert_eq!(committed, generated, "{name}/{:?} is stale", file.file_name());
        }
    }
}
