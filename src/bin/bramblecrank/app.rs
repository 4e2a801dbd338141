//! Converts the parsed command line to an [`App`].

use std::net::SocketAddr;
use std::path::PathBuf;

use bramblecrank::error::Result;
use bramblecrank::site::SampleSite;
use bramblecrank::telemetry::LogLayout;
use clap::ArgMatches;
use log::LevelFilter;

/// A command and how it logs.
#[derive(Clone, Debug)]
pub struct App {
    /// Least severe level that is logged.
    pub level: LevelFilter,
    /// Layout of log lines.
    pub layout: LogLayout,
    /// The command.
    pub task: Task,
}

/// A command with its arguments.
#[derive(Clone, Debug)]
pub enum Task {
    Router(PathBuf),
    Control(PathBuf),
    Engine(PathBuf),
    Service(PathBuf),
    Platform(PathBuf),
    Check {
        file: PathBuf,
        kind: String,
    },
    Apply {
        file: PathBuf,
        to: Vec<SocketAddr>,
        base: Option<u64>,
        operation: Option<String>,
        json: bool,
    },
    Get {
        to: SocketAddr,
        json: bool,
    },
    Diff {
        file: PathBuf,
        to: SocketAddr,
    },
    History {
        to: SocketAddr,
        most: u32,
        json: bool,
    },
    Status {
        to: SocketAddr,
        json: bool,
    },
    SetLeaving {
        endpoint: String,
        leaving: bool,
        to: Vec<SocketAddr>,
    },
    OrderHall {
        hall: String,
        drained: bool,
        to: Vec<SocketAddr>,
    },
    StartRollout {
        service: String,
        version: String,
        within_s: f64,
        to: Vec<SocketAddr>,
    },
    RolloutStatus {
        service: String,
        to: Vec<SocketAddr>,
        json: bool,
    },
    Quarantine {
        to: SocketAddr,
        json: bool,
    },
    Release {
        suspect: String,
        to: Vec<SocketAddr>,
    },
    StopHost {
        to: SocketAddr,
    },
    ReplaceControl {
        host: u32,
        old_store: String,
        to: Vec<SocketAddr>,
    },
    Rehearse {
        cut_to: Vec<u32>,
        cut_from: Vec<u32>,
        cut_halls: Vec<String>,
        to: SocketAddr,
    },
    Explain {
        request: String,
        to: SocketAddr,
        json: bool,
    },
    Load {
        file: PathBuf,
        json: Option<PathBuf>,
        plot: Option<PathBuf>,
        check: bool,
    },
    Compare {
        before: PathBuf,
        after: PathBuf,
    },
    Site {
        site: SampleSite,
        out: PathBuf,
        base_port: u16,
        alone: bool,
    },
    Demo {
        seconds: u64,
    },
}

impl App {
    /// Converts the matches of `clap_app::build`.
    pub fn from_matches(matches: &ArgMatches) -> Result<App> {
        let level = text(matches, "log-level").parse().unwrap_or(LevelFilter::Info);
        let layout = match text(matches, "log-layout").as_str() {
            "json" => LogLayout::Json,
            "logfmt" => LogLayout::Logfmt,
            "plain" => LogLayout::Plain,
            _ => LogLayout::Text,
        };
        let task = task(matches);
        Ok(App { level, layout, task })
    }
}

fn task(matches: &ArgMatches) -> Task {
    let (name, m) = subcommand(matches);
    match name {
        "router" => Task::Router(path(m, "settings")),
        "control" => Task::Control(path(m, "settings")),
        "emulate" => emulate(m),
        "check" => Task::Check { file: path(m, "file"), kind: text(m, "kind") },
        "config" => config(m),
        "endpoint" => {
            let (verb, m) = subcommand(m);
            let leaving = verb == "drain";
            Task::SetLeaving { endpoint: text(m, "name"), leaving, to: addresses(m) }
        }
        "host" => host(m),
        "explain" => {
            Task::Explain { request: text(m, "request"), to: address(m), json: flag(m, "json") }
        }
        "load" => load(m),
        "hall" => {
            let (verb, m) = subcommand(m);
            Task::OrderHall { hall: text(m, "name"), drained: verb == "drain", to: addresses(m) }
        }
        "rollout" => rollout(m),
        "quarantine" => {
            let (verb, m) = subcommand(m);
            match verb {
                "release" => Task::Release { suspect: text(m, "suspect"), to: addresses(m) },
                _ => Task::Quarantine { to: address(m), json: flag(m, "json") },
            }
        }
        "site" => Task::Site {
            site: match text(m, "name").as_str() {
                "bangkok" => SampleSite::Bangkok,
                _ => SampleSite::Perak,
            },
            out: path(m, "out"),
            base_port: m.get_one::<u16>("base-port").copied().unwrap_or_default(),
            alone: flag(m, "alone"),
        },
        _ => Task::Demo { seconds: m.get_one::<u64>("seconds").copied().unwrap_or_default() },
    }
}

fn emulate(matches: &ArgMatches) -> Task {
    let (name, m) = subcommand(matches);
    let settings = path(m, "settings");
    match name {
        "engine" => Task::Engine(settings),
        "service" => Task::Service(settings),
        _ => Task::Platform(settings),
    }
}

fn config(matches: &ArgMatches) -> Task {
    let (name, m) = subcommand(matches);
    match name {
        "apply" => Task::Apply {
            file: path(m, "file"),
            to: addresses(m),
            base: m.get_one::<u64>("base").copied(),
            operation: m.get_one::<String>("operation").cloned(),
            json: flag(m, "json"),
        },
        "get" => Task::Get { to: address(m), json: flag(m, "json") },
        "diff" => Task::Diff { file: path(m, "file"), to: address(m) },
        "history" => Task::History {
            to: address(m),
            most: m.get_one::<u32>("most").copied().unwrap_or_default(),
            json: flag(m, "json"),
        },
        _ => Task::Status { to: address(m), json: flag(m, "json") },
    }
}

fn host(matches: &ArgMatches) -> Task {
    let (name, m) = subcommand(matches);
    match name {
        "stop" => Task::StopHost { to: address(m) },
        "replace-control" => Task::ReplaceControl {
            host: m.get_one::<u32>("host").copied().unwrap_or_default(),
            old_store: m.get_one::<String>("old-store").cloned().unwrap_or_default(),
            to: addresses(m),
        },
        _ => Task::Rehearse {
            cut_to: values(m, "cut-to"),
            cut_from: values(m, "cut-from"),
            cut_halls: values(m, "cut-halls"),
            to: address(m),
        },
    }
}

fn rollout(matches: &ArgMatches) -> Task {
    let (name, m) = subcommand(matches);
    let (service, to) = (text(m, "service"), addresses(m));
    match name {
        "start" => Task::StartRollout {
            service,
            version: text(m, "version"),
            within_s: m.get_one::<f64>("within").copied().unwrap_or_default(),
            to,
        },
        _ => Task::RolloutStatus { service, to, json: flag(m, "json") },
    }
}

fn load(matches: &ArgMatches) -> Task {
    let (name, m) = subcommand(matches);
    match name {
        "run" => Task::Load {
            file: path(m, "file"),
            json: m.get_one::<PathBuf>("json").cloned(),
            plot: m.get_one::<PathBuf>("plot").cloned(),
            check: flag(m, "check"),
        },
        _ => Task::Compare { before: path(m, "file"), after: path(m, "other") },
    }
}

fn subcommand(matches: &ArgMatches) -> (&str, &ArgMatches) {
    matches.subcommand().expect("clap requires a subcommand")
}

fn text(matches: &ArgMatches, name: &str) -> String {
    matches.get_one::<String>(name).cloned().unwrap_or_default()
}

fn path(matches: &ArgMatches, name: &str) -> PathBuf {
    matches.get_one::<PathBuf>(name).cloned().unwrap_or_default()
}

fn flag(matches: &ArgMatches, name: &str) -> bool {
    matches.get_flag(name)
}

fn values<T: Clone + Send + Sync + 'static>(matches: &ArgMatches, name: &str) -> Vec<T> {
    matches.get_many::<T>(name).into_iter().flatten().cloned().collect()
}

fn addresses(matches: &ArgMatches) -> Vec<SocketAddr> {
    values(matches, "to")
}

fn address(matches: &ArgMatches) -> SocketAddr {
    // clap requires at least one.
    addresses(matches)[0]
}
