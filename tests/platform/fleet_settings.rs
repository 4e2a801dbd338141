//! Settings files of a test fleet.

use std::net::Ipv4Addr;

use tempfile::TempDir;

use super::{CONTROL_PORT, FRONT_PORT, OPERATOR_PORT, PEER_PORT, READY_PORT};

/// Settings of a router that hands over every connection, whatever its load is.
pub(super) const HANDS_OVER_ALL: &str = "  overload:\n    hand_over_lag_ms: 0\n    hand_over_answer_ms: 600000\n    \
                          unready_lag_ms: 600000\n    refuse_lag_ms: 600000\n";
/// Settings of a router that serves every request, whatever its load is. By default a router
/// refuses requests when its event loop lags by 40 ms, which a busy test machine may cause.
pub(super) const SERVES_ALL: &str = "  overload:\n    hand_over_lag_ms: 600000\n    \
                         unready_lag_ms: 600000\n    refuse_lag_ms: 600000\n";

/// Settings of a router whose requests are sent again as often as their routes allow.
pub(super) const UNLIMITED_RETRIES: &str = "  retry_budget:\n    slack: 1000000\n";

/// A quarter of the memory of the users' machines, which the machine of the tests has many times.
const REQUEST_BYTES: usize = 64_000_000;

/// Writes the settings of the control host and of both routers.
pub(super) fn write_settings(folder: &TempDir, addresses: [Ipv4Addr; 3], regions: &str) {
    let [control, router, neighbour] = addresses;
    let host = |name: &str, address: Ipv4Addr| {
        format!(
            "host:\n  name: {name}\n  hall: a\n  peer: \"{address}:{PEER_PORT}\"\n  \
             seeds: [\"{control}:{CONTROL_PORT}\"]\n  seed_port: {PEER_PORT}\n  heartbeats: control\n  \
             regions: {regions}\n\
             operator: \"{address}:{OPERATOR_PORT}\"\n"
        )
    };
    let data = folder.path().join("data");
    let control_text = format!(
        "{}platform: \"{control}:{CONTROL_PORT}\"\ndata: {}\nfound_with_seeds: true\n\
         tolerated_losses: 0\nwait_for_disk: true\n\
         descriptors: 4096\nrequests:\n  held_bytes: {REQUEST_BYTES}\n",
        host("control", control),
        data.display()
    );
    let router_text = |name: &str, address: Ipv4Addr| {
        format!(
            "{}listen: \"{address}:{FRONT_PORT}\"\n\
             requests:\n  held_bytes: {REQUEST_BYTES}\ngateway:\n  ready: \"{address}:{READY_PORT}\"\n  \
             stop_takes_ms: 300\n  stop_within_s: 8\n",
            host(name, address)
        )
    };
    std::fs::write(folder.path().join("control.yaml"), control_text).unwrap();
    let routers = [("router", router), ("neighbour", neighbour)];
    for (name, address) in routers {
        let path = folder.path().join(format!("{name}.yaml"));
        std::fs::write(path, router_text(name, address) + SERVES_ALL).unwrap();
    }
}
