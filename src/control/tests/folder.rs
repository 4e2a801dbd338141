//! Starting the driver of a control host with a data folder that an earlier release wrote.

use std::sync::Arc;

use tempfile::TempDir;

use super::format::{document, old_commands, old_state};
use crate::agree::{Entry, GroupMember, HardState, Payload, Persist, Snapshot};
use crate::control::driver;
use crate::control::published::PublishedState;
use crate::error::{Error, Result};
use crate::feed::FleetState;
use crate::registry::SharedRegistry;
use crate::routing::CurrentRouting;
use crate::settings::ControlSettings;
use crate::spread::CurrentConfig;
use crate::store::Disk;
use crate::testing::{peer_address, start_peers, wait_until};
use crate::wire::{HostId, Role};

/// A data folder whose group has one store, with this snapshot at entry 9 and these commands as
/// entries after it.
fn folder(host: u8, data: Vec<u8>, commands: Vec<Vec<u8>>) -> TempDir {
    let folder = TempDir::new().unwrap();
    let (mut disk, _) = Disk::open(folder.path()).unwrap();
    let member = GroupMember {
        store: disk.identity(),
        host: HostId(host.into()),
        peer: peer_address(host),
        voter: true,
        replaces: None,
    };
    let entry = |(index, data)| Entry { term: 1, index, payload: Payload::Data(data) };
    let entries = (10..).zip(commands).map(entry).collect();
    disk.write(&[
        Persist::HardState(HardState { term: 1, voted_for: None }),
        Persist::Snapshot(Snapshot { index: 9, term: 1, members: vec![member], data }),
        Persist::Entries(entries),
    ])
    .unwrap();
    folder
}

fn settings(folder: &TempDir, host: u8) -> ControlSettings {
    let peer = peer_address(host);
    let data = folder.path().display();
    let text = format!(
        "{{host: {{name: c, hall: a, peer: '{peer}'}}, operator: '{peer}', data: '{data}'}}"
    );
    serde_saphyr::from_str(&text).unwrap()
}

struct Started {
    configs: Arc<CurrentConfig>,
    routing: Arc<CurrentRouting>,
    registry: Arc<SharedRegistry>,
    task: tokio::task::JoinHandle<Result<()>>,
    _handle: crate::control::Handle,
}

async fn start(folder: &TempDir, host: u8) -> Result<Started> {
    let (peers, _incoming) = start_peers(Role::Control, host, vec![]).await;
    let configs = Arc::new(CurrentConfig::default());
    let fleet_state = FleetState::default();
    let FleetState { routing, registry, .. } = fleet_state.clone();
    let published = PublishedState { configs: configs.clone(), fleet_state };
    let (disk, found) = Disk::open(folder.path())?;
    let (_handle, task) = driver::start(&settings(folder, host), peers, published, disk, found)?;
    Ok(Started { configs, routing, registry, task, _handle })
}

fn version(routing: &CurrentRouting) -> u64 {
    routing.current().map_or(0, |routing| routing.table.version)
}

#[tokio::test]
async fn a_driver_starts_with_a_folder_of_the_first_release() {
    let folder = folder(81, old_state(), old_commands());
    let started = start(&folder, 81).await.unwrap();
    wait_until(|| version(&started.routing) == 6).await;
    assert_eq!(started.routing.current().unwrap().table, document(6).table);
    wait_until(|| started.configs.current().version == 2).await;
    wait_until(|| started.registry.read(|r| r.drained().contains("c"))).await;
}

#[tokio::test]
async fn an_unreadable_snapshot_is_an_error_at_the_start() {
    let folder = folder(82, b"garbage".to_vec(), vec![]);
    assert!(matches!(start(&folder, 82).await, Err(Error::Unreadable { .. })));
}

#[tokio::test]
async fn an_unreadable_command_ends_the_driver_with_an_error() {
    let folder = folder(83, old_state(), vec![b"garbage".to_vec()]);
    let started = start(&folder, 83).await.unwrap();
    let ended = started.task.await.expect("no panic");
    let error = ended.expect_err("the command does not decode").to_string();
    assert!(error.starts_with("the agreed command at entry 10 "), "{error}");
}
