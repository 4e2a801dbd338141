//! A complete fleet in one process on loopback, for newcomers.
//!
//! It only demonstrates how the parts work together; tests and measurements run separate
//! processes.

use std::net::{SocketAddr, TcpListener};
use std::path::Path;
use std::time::Duration;

use tokio_util::sync::CancellationToken;

use crate::error::{Error, Result};
use crate::load::{Arrival, Lengths, LoadCustomer, LoadFile, LoadReport};
use crate::operator::{apply_document, proto};
use crate::site::{SampleSite, Site};
use crate::{control, emulate, load, router};

/// Range that is searched for free ports. It ends below the ports that operating systems assign to
/// outgoing connections.
const PORT_RANGE: std::ops::Range<u16> = 10_000..32_000;
/// Distance of two candidates for the first port of the fleet.
const PORT_STEP: usize = 1_000;
/// How long to wait until all routers accept connections.
const STARTUP_TIMEOUT: Duration = Duration::from_secs(20);

/// Runs the fleet with a load for `seconds` and returns what was measured.
pub async fn run(seconds: u64, progress: impl Fn(f64)) -> Result<LoadReport> {
    let data = tempdir()?;
    let site = plan_site(&data)?;
    let stop = CancellationToken::new();
    start(&site, &stop);
    apply_configuration(&site).await?;
    wait_ready(&site).await?;
    let report = load::run(load_file(&site, seconds), |at, _| progress(at)).await;
    stop.cancel();
    // A failure leaves files only in the system's folder for temporary files.
    let _ = std::fs::remove_dir_all(&data);
    report
}

fn tempdir() -> Result<std::path::PathBuf> {
    let name = format!("bramblecrank-demo-{}", std::process::id());
    let path = std::env::temp_dir().join(name);
    std::fs::create_dir_all(&path).map_err(|source| Error::File { path: path.clone(), source })?;
    Ok(path)
}

/// A small site on free ports.
fn plan_site(data: &Path) -> Result<Site> {
    let free = |port: &u16| {
        let address = SocketAddr::from(([127, 0, 0, 1], port + 100));
        TcpListener::bind(address).is_ok()
    };
    let base = PORT_RANGE.step_by(PORT_STEP).find(free);
    let base = base.ok_or_else(|| Error::Load { message: "no free ports".into() })?;
    let small = Site {
        routers: 3,
        controls: 1,
        engines: 4,
        services: 2,
        ..SampleSite::Perak.plan(base, data)
    };
    Ok(small)
}

fn start(site: &Site, stop: &CancellationToken) {
    let files = site.files();
    for settings in files.engines {
        spawn("engine", emulate::engine::run(settings));
    }
    for settings in files.services {
        spawn("service", emulate::service::run(settings));
    }
    spawn("platform", emulate::platform::run(files.platform));
    for settings in files.controls {
        spawn("control", control::run(settings, stop.clone(), None));
    }
    for settings in files.routers {
        spawn("router", router::run(settings, stop.clone()));
    }
}

fn spawn(what: &'static str, part: impl Future<Output = Result<()>> + Send + 'static) {
    tokio::spawn(async move {
        if let Err(error) = part.await {
            log::error!("demo: {what}: {error}");
        }
    });
}

async fn apply_configuration(site: &Site) -> Result<()> {
    let document = serde_saphyr::to_string(&site.configuration());
    let document = document.map_err(|e| Error::Load { message: e.to_string() })?;
    let request = proto::ApplyRequest { operation: "demo".into(), document, ..Default::default() };
    let reply = apply_document(&[site.control_operator(0)], request).await?;
    match reply.result() {
        proto::apply_reply::Result::Accepted => Ok(()),
        _ => Err(Error::Load { message: format!("the configuration was refused: {reply:?}") }),
    }
}

async fn wait_ready(site: &Site) -> Result<()> {
    let up = async {
        for router in 0..site.routers {
            let address = site.router_address(router);
            while tokio::net::TcpStream::connect(address).await.is_err() {
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        }
    };
    let timed_out = |_| Error::Load { message: "the fleet did not come up".into() };
    tokio::time::timeout(STARTUP_TIMEOUT, up).await.map_err(timed_out)
}

/// Two customers send bulk requests to the model, one sends occasional chats, and one sends keyed
/// calls to the plain service.
fn load_file(site: &Site, seconds: u64) -> LoadFile {
    let customer = |name: &str, share, arrival, output, routers: &[usize]| LoadCustomer {
        name: name.into(),
        share,
        service: site.model.clone(),
        path: None,
        routers: routers.to_vec(),
        arrival,
        prompt: Lengths { median: 200.0, sigma: 0.8, max: 4_000 },
        output: Lengths { median: output, sigma: 0.6, max: 400 },
        shared_prefix: 128,
        keyed: false,
        resend: 0.0,
        deadline_ms: None,
        deadly: 0.0,
    };
    let seats = LoadCustomer {
        service: site.plain.clone(),
        path: Some(format!("{}/seat", site.run_once_path)),
        keyed: true,
        resend: 0.3,
        ..customer("market-traders", 2, Arrival::Open(20.0), 1.0, &[])
    };
    let customers = vec![
        customer("harbour-agents", 4, Arrival::Closed(80), 120.0, &[0]),
        customer("truck-drivers", 2, Arrival::Closed(80), 120.0, &[]),
        customer("passenger-chat", 4, Arrival::Open(5.0), 40.0, &[1]),
        seats,
    ];
    LoadFile::for_site("demo", site, seconds, customers)
}
