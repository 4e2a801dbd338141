//! Checks that the committed code for operators' calls is what the schema generates.

use std::path::Path;

#[test]
fn generated_code_is_up_to_date() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let files = protox::compile(["operator.proto"], [root.join("proto")]).unwrap();
    let out = tempfile::tempdir().unwrap();
    tonic_prost_build::configure().out_dir(out.path()).compile_fds(files).unwrap();
    let generated =
        std::fs::read_to_string(out.path().join("bramblecrank.operator.v1.rs")).unwrap();
    let path = root.join("src/operator/generated.rs");
    if std::env::var_os("REGENERATE").is_some() {
        std::fs::write(&path, &generated).unwrap();
    }
    let committed = std::fs::read_to_string(&path).unwrap_or_default();
    assert!(committed == generated, "src/operator/generated.rs is stale: run with REGENERATE=1");
}
