use std::path::Path;

use super::*;
use crate::config::Config;
use crate::settings::{self, ControlSettings, RouterSettings};

#[test]
fn both_sites_have_sound_files() {
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
fn an_unknown_field_is_refused_with_its_place() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("platform.yaml");
    std::fs::write(&path, "listen: 127.0.0.1:1\nlagg_ms: 3\n").unwrap();
    let error = settings::read::<settings::PlatformSettings>(&path).unwrap_err().to_string();
    assert!(error.contains("platform.yaml"), "{error}");
    assert!(error.contains("lagg_ms") && error.contains("line 2"), "{error}");
    assert!(error.contains("lag_ms"), "no remedy: {error}");
}
