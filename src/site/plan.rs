//! Builds a sample site.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use serde::Serialize;
use snafu::ResultExt;

use crate::answer::AnswerLimits;
use crate::config::{Customer, Document, Endpoint, RunOnceRule, Service, ServiceKind};
use crate::error::{Error, FileSnafu, Result};
use crate::request_body::RequestLimits;
use crate::settings::{
    ControlSettings, DispatchMode, EngineSettings, HeartbeatScope, HostSettings, PlatformSettings,
    RouterSettings, ServiceSettings,
};
use crate::wire::HostId;

/// First port of each purpose, relative to the site's first port.
mod port_offset {
    pub const CALLERS: u16 = 100;
    pub const CONTROL_OPERATOR: u16 = 200;
    pub const ROUTER_OPERATOR: u16 = 300;
    pub const CONTROL_PEER: u16 = 400;
    pub const ROUTER_PEER: u16 = 500;
    pub const ENGINE: u16 = 600;
    pub const SERVICE: u16 = 700;
    pub const PLATFORM: u16 = 800;
}

/// Number of the first control host; routers are numbered from 1.
const FIRST_CONTROL_NUMBER: u16 = 101;
const ENGINE_SLOTS: u32 = 16;
const SERVICE_SLOTS: u32 = 16;

/// The two sample deployments.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SampleSite {
    /// Ferry tickets at Tanjung Perak.
    Perak,
    /// Taxi dispatch in Bangkok.
    Bangkok,
}

/// The size of a site and the names used in it.
#[derive(Clone, Debug)]
pub struct Site {
    /// Data halls.
    pub halls: Vec<String>,
    /// The model service's name.
    pub model: String,
    /// The plain service's name.
    pub plain: String,
    /// Path prefix of the plain service's calls that may not be repeated.
    pub run_once_path: String,
    /// Customers with their shares.
    pub customers: Vec<(String, u32)>,
    /// Number of routers.
    pub routers: u16,
    /// Number of control hosts.
    pub controls: u16,
    /// Number of model engines.
    pub engines: u16,
    /// Number of replicas of the plain service.
    pub services: u16,
    /// The first of 1,000 ports.
    pub base_port: u16,
    /// How routers dispatch.
    pub dispatch: DispatchMode,
    /// Where control hosts keep their data folders.
    pub data: PathBuf,
}

/// Every file of a site.
#[derive(Clone, Debug)]
pub struct SiteFiles {
    /// Settings of the routers.
    pub routers: Vec<RouterSettings>,
    /// Settings of the control hosts.
    pub controls: Vec<ControlSettings>,
    /// Settings of the engines.
    pub engines: Vec<EngineSettings>,
    /// Settings of the plain service's replicas.
    pub services: Vec<ServiceSettings>,
    /// Settings of the platform's list.
    pub platform: PlatformSettings,
    /// The first configuration.
    pub configuration: Document,
}

impl SampleSite {
    /// The site at its full size.
    pub fn plan(self, base_port: u16, data: &Path) -> Site {
        let names = |names: &[&str]| names.iter().map(|n| n.to_string()).collect::<Vec<_>>();
        let customers = |list: &[(&str, u32)]| {
            list.iter().map(|(name, share)| (name.to_string(), *share)).collect::<Vec<_>>()
        };
        let common = |halls, model: &str, plain: &str, once: &str, customers| Site {
            halls,
            model: model.into(),
            plain: plain.into(),
            run_once_path: once.into(),
            customers,
            routers: 9,
            controls: 3,
            engines: 10,
            services: 3,
            base_port,
            dispatch: DispatchMode::Fleet,
            data: data.to_path_buf(),
        };
        match self {
            SampleSite::Perak => common(
                names(&["perak-a", "perak-b", "gresik"]),
                "asisten-llm",
                "tiket-app",
                "/holds",
                customers(&[
                    ("harbour-agents", 4),
                    ("passenger-chat", 4),
                    ("madura-commuters", 2),
                    ("market-traders", 2),
                    ("truck-drivers", 2),
                    ("kalianget-line", 1),
                    ("bawean-line", 1),
                    ("school-groups", 1),
                    ("pilgrim-groups", 1),
                    ("harbourmaster", 1),
                ]),
            ),
            SampleSite::Bangkok => common(
                names(&["bkk-ratchada", "bkk-bangna", "bkk-thonburi"]),
                "lm-pool",
                "dispatch-core",
                "/offers",
                customers(&[
                    ("booking-summaries", 4),
                    ("shift-handover", 2),
                    ("passenger-drafts", 2),
                    ("hospital-clerks", 2),
                    ("hotel-desks", 2),
                    ("airport-rank", 2),
                    ("night-market", 1),
                    ("driver-app", 1),
                    ("call-centre", 1),
                    ("partners", 1),
                ]),
            ),
        }
    }
}

fn loopback(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

impl Site {
    fn address_at(&self, offset: u16, number: u16) -> SocketAddr {
        loopback(self.base_port + offset + number)
    }

    /// Where callers reach a router; routers count from 0.
    pub fn router_address(&self, router: u16) -> SocketAddr {
        self.address_at(port_offset::CALLERS, router)
    }

    /// Where operators reach a router; routers count from 0.
    pub fn router_operator(&self, router: u16) -> SocketAddr {
        self.address_at(port_offset::ROUTER_OPERATOR, router)
    }

    /// Where operators reach a control host; control hosts count from 0.
    pub fn control_operator(&self, control: u16) -> SocketAddr {
        self.address_at(port_offset::CONTROL_OPERATOR, control)
    }

    /// Where an engine listens; engines count from 0.
    pub fn engine(&self, engine: u16) -> SocketAddr {
        self.address_at(port_offset::ENGINE, engine)
    }

    /// Where a replica of the plain service listens; replicas count from 0.
    pub fn service(&self, service: u16) -> SocketAddr {
        self.address_at(port_offset::SERVICE, service)
    }

    /// Where the platform serves its list of hosts.
    pub fn platform(&self) -> SocketAddr {
        self.address_at(port_offset::PLATFORM, 0)
    }

    fn hall(&self, number: u16) -> String {
        self.halls[number as usize % self.halls.len()].clone()
    }

    fn host(&self, name: String, id: u16, hall: u16, peer: SocketAddr) -> HostSettings {
        let routers = (0..self.routers).map(|n| self.address_at(port_offset::ROUTER_PEER, n));
        let controls = (0..self.controls).map(|n| self.address_at(port_offset::CONTROL_PEER, n));
        let seeds = routers.chain(controls).filter(|seed| *seed != peer).collect();
        HostSettings {
            name,
            id: Some(HostId(id.into())),
            hall: self.hall(hall),
            peer,
            seeds,
            advertise: None,
            seed_port: None,
            regions: Default::default(),
            heartbeats: HeartbeatScope::All,
            file: None,
        }
    }

    /// Settings of router `n`, counted from 0.
    pub fn router(&self, n: u16) -> RouterSettings {
        let name = format!("router-{}", n + 1);
        RouterSettings {
            host: self.host(name, n + 1, n, self.address_at(port_offset::ROUTER_PEER, n)),
            listen: self.router_address(n),
            operator: self.router_operator(n),
            platform: Some(self.platform()),
            dispatch: self.dispatch,
            alone_routers: u32::from(self.routers),
            max_body: 4 << 20,
            answers: AnswerLimits::default(),
            requests: RequestLimits::default(),
            drain_ms: 60_000,
            rehearsal: true,
            gateway: None,
        }
    }

    /// Settings of control host `n`, counted from 0.
    pub fn control(&self, n: u16) -> ControlSettings {
        let name = format!("control-{}", n + 1);
        ControlSettings {
            halls: Vec::new(),
            host: self.host(
                name.clone(),
                FIRST_CONTROL_NUMBER + n,
                n,
                self.address_at(port_offset::CONTROL_PEER, n),
            ),
            operator: self.control_operator(n),
            data: self.data.join(name),
            found_with_seeds: false,
            tolerated_losses: 3,
            wait_for_disk: false,
            placement: Default::default(),
            rollout: Default::default(),
            platform: None,
            founders: (0..self.controls)
                .map(|n| HostId((FIRST_CONTROL_NUMBER + n).into()))
                .collect(),
            control: (0..self.controls)
                .map(|n| self.address_at(port_offset::CONTROL_PEER, n))
                .collect(),
            snapshot_every: 1_000,
            snapshot_every_bytes: 8 << 20,
            requests: RequestLimits::default(),
            descriptors: 8_192,
            rehearsal: true,
        }
    }

    /// Settings of engine `n`, counted from 0.
    pub fn engine_settings(&self, n: u16) -> EngineSettings {
        EngineSettings {
            name: format!("engine-{}", n + 1),
            listen: self.engine(n),
            slots: ENGINE_SLOTS,
            prefill_us: 20,
            token_us: 5_000,
            tokens_per_event: 8,
            cache_blocks: 4_096,
            crashes: false,
        }
    }

    /// Settings of replica `n` of the plain service, counted from 0.
    pub fn service_settings(&self, n: u16) -> ServiceSettings {
        ServiceSettings {
            name: format!("service-{}", n + 1),
            listen: self.service(n),
            slots: SERVICE_SLOTS,
            call_ms: 20,
        }
    }

    /// The first configuration.
    pub fn configuration(&self) -> Document {
        let engine = |n: u16| Endpoint {
            name: format!("engine-{}", n + 1),
            service: self.model.clone(),
            hall: self.hall(n),
            address: self.engine(n).to_string(),
            slots: ENGINE_SLOTS,
            leaving: false,
        };
        let replica = |n: u16| Endpoint {
            name: format!("service-{}", n + 1),
            service: self.plain.clone(),
            hall: self.hall(n),
            address: self.service(n).to_string(),
            slots: SERVICE_SLOTS,
            leaving: false,
        };
        let customer = |(name, share): &(String, u32)| Customer {
            name: name.clone(),
            share: *share,
            services: Vec::new(),
            max_waiting: 256,
            max_bytes: 64 << 20,
        };
        Document {
            halls: self.halls.clone(),
            services: vec![
                service(&self.model, ServiceKind::Model, 120_000, vec![]),
                service(
                    &self.plain,
                    ServiceKind::Plain,
                    10_000,
                    vec![RunOnceRule { method: "POST".into(), path: self.run_once_path.clone() }],
                ),
            ],
            customers: self.customers.iter().map(customer).collect(),
            endpoints: (0..self.engines)
                .map(engine)
                .chain((0..self.services).map(replica))
                .collect(),
            ..Document::default()
        }
    }

    /// Every file of the site.
    pub fn files(&self) -> SiteFiles {
        SiteFiles {
            routers: (0..self.routers).map(|n| self.router(n)).collect(),
            controls: (0..self.controls).map(|n| self.control(n)).collect(),
            engines: (0..self.engines).map(|n| self.engine_settings(n)).collect(),
            services: (0..self.services).map(|n| self.service_settings(n)).collect(),
            platform: PlatformSettings { listen: self.platform(), lag_ms: 200 },
            configuration: self.configuration(),
        }
    }
}

fn service(name: &str, kind: ServiceKind, deadline_ms: u32, run_once: Vec<RunOnceRule>) -> Service {
    Service {
        name: name.into(),
        kind,
        input_weight: 1,
        output_weight: 2,
        ahead: 1,
        deadline_ms,
        run_once,
    }
}

impl SiteFiles {
    /// Writes every file into `folder`.
    pub fn write(&self, folder: &Path) -> Result<()> {
        std::fs::create_dir_all(folder).context(FileSnafu { path: folder })?;
        for settings in &self.routers {
            write(folder, &settings.host.name, settings)?;
        }
        for settings in &self.controls {
            write(folder, &settings.host.name, settings)?;
        }
        for settings in &self.engines {
            write(folder, &settings.name, settings)?;
        }
        for settings in &self.services {
            write(folder, &settings.name, settings)?;
        }
        write(folder, "platform", &self.platform)?;
        write(folder, "configuration", &self.configuration)
    }
}

fn write<T: Serialize>(folder: &Path, name: &str, value: &T) -> Result<()> {
    let path = folder.join(format!("{name}.yaml"));
    let text = serde_saphyr::to_string(value);
    let text = text.map_err(|e| Error::Parse { path: path.clone(), message: e.to_string() })?;
    std::fs::write(&path, text).context(FileSnafu { path })
}
