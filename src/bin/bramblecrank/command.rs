//! Runs commands, apart from those in `operate`.

use std::io::{IsTerminal, Write};
use std::path::Path;
use std::sync::Arc;

use bramblecrank::error::{Error, Result};
use bramblecrank::load::{self, LoadFile, LoadReport};
use bramblecrank::settings::{ControlSettings, RouterSettings};
use bramblecrank::{control, demo, emulate, gateway, router, settings, telemetry};
use tokio_util::sync::CancellationToken;

use crate::app::{App, Task};
use crate::operate;
use crate::platform;

/// Runs the command in a runtime of its own.
pub fn run(app: App) -> Result<()> {
    let quiet = matches!(app.task, Task::Demo { .. } | Task::Load { .. });
    let level = if quiet { app.level.min(log::LevelFilter::Warn) } else { app.level };
    telemetry::start_logging(level, app.layout);
    let runtime = runtime_for(&app.task).enable_all().build();
    let runtime = runtime.map_err(|source| Error::Net { what: "start".into(), source })?;
    runtime.block_on(execute(app.task))
}

/// Routers and control hosts run on one thread, since their hosts are small; other commands
/// use all cores.
fn runtime_for(task: &Task) -> tokio::runtime::Builder {
    match task {
        Task::Router(_) | Task::Control(_) => tokio::runtime::Builder::new_current_thread(),
        _ => tokio::runtime::Builder::new_multi_thread(),
    }
}

/// Runs a router for chat completions, or a gateway where its settings configure one.
async fn run_router(settings: RouterSettings) -> Result<()> {
    let stop = stop_on_signal();
    match settings.gateway.clone() {
        Some(rules) => {
            gateway::run(settings, rules, Arc::new(platform::header_names()), stop).await
        }
        None => router::run(settings, stop).await,
    }
}

/// Runs a control host; it also serves the platform's calls if its settings enable that.
async fn run_control(settings: ControlSettings) -> Result<()> {
    let interface = settings
        .platform
        .map(|listen| control::Interface { listen, app: Box::new(platform::control_app) });
    control::run(settings, stop_on_signal(), interface).await
}

async fn execute(task: Task) -> Result<()> {
    match task {
        Task::Router(file) => {
            let mut settings: RouterSettings = settings::read(&file)?;
            settings.host.file = Some(file);
            run_router(settings).await
        }
        Task::Control(file) => {
            let mut settings: ControlSettings = settings::read(&file)?;
            settings.host.file = Some(file);
            run_control(settings).await
        }
        Task::Engine(file) => until_signal(emulate::engine::run(settings::read(&file)?)).await,
        Task::Service(file) => until_signal(emulate::service::run(settings::read(&file)?)).await,
        Task::Platform(file) => until_signal(emulate::platform::run(settings::read(&file)?)).await,
        Task::Check { file, kind } => check(&file, &kind),
        Task::Load { file, json, plot, check } => {
            run_load(&file, json.as_deref(), plot.as_deref(), check).await
        }
        Task::Compare { before, after } => {
            print!("{}", load::compare(&read_report(&before)?, &read_report(&after)?));
            Ok(())
        }
        Task::Site { site, out, base_port, alone } => {
            let mut plan = site.plan(base_port, &out.join("data"));
            if alone {
                plan.dispatch = settings::DispatchMode::Alone;
            }
            plan.files().write(&out)?;
            println!("wrote the site's files to {}", out.display());
            Ok(())
        }
        Task::Demo { seconds } => run_demo(seconds).await,
        other => operate::run(other).await,
    }
}

/// Cancelled by the first signal to stop; the second ends the process.
fn stop_on_signal() -> CancellationToken {
    let stop = CancellationToken::new();
    let token = stop.clone();
    tokio::spawn(log_hangups());
    tokio::spawn(async move {
        signal().await;
        token.cancel();
        signal().await;
        log::warn!("stopped by a second signal");
        std::process::exit(1);
    });
    stop
}

/// Logs each hangup signal, with which the platform reports a changed settings file. The
/// file is read at the next start: a running process learns new addresses from its peers, and
/// reads only the seeds again once it has none.
async fn log_hangups() {
    use tokio::signal::unix::{SignalKind, signal};
    let Ok(mut hangup) = signal(SignalKind::hangup()) else { return };
    while hangup.recv().await.is_some() {
        log::info!("process: the settings file has changed; it is read at the next start");
    }
}

async fn signal() {
    use tokio::signal::unix::{SignalKind, signal};
    let Ok(mut terminate) = signal(SignalKind::terminate()) else {
        return std::future::pending().await;
    };
    tokio::select! {
        _ = terminate.recv() => {}
        // Without a handler for this signal the process would continue.
        _ = tokio::signal::ctrl_c() => {}
    }
}

async fn until_signal(part: impl Future<Output = Result<()>>) -> Result<()> {
    tokio::select! {
        result = part => result,
        () = signal() => Ok(()),
    }
}

fn check(file: &Path, kind: &str) -> Result<()> {
    match kind {
        "router" => settings::read::<settings::RouterSettings>(file)?.check()?,
        "control" => settings::read::<settings::ControlSettings>(file)?.check()?,
        "engine" => settings::read::<settings::EngineSettings>(file).map(|_| ())?,
        "service" => settings::read::<settings::ServiceSettings>(file).map(|_| ())?,
        "platform" => settings::read::<settings::PlatformSettings>(file).map(|_| ())?,
        "load" => settings::read::<LoadFile>(file)?.check()?,
        _ => operate::check_document(file)?,
    }
    println!("{} is a valid {kind} file", file.display());
    Ok(())
}

async fn run_load(
    file: &Path,
    json: Option<&Path>,
    plot: Option<&Path>,
    check: bool,
) -> Result<()> {
    let load_file: LoadFile = settings::read(file)?;
    let seconds = load_file.duration_s;
    let report = load::run(load_file, |at, _| show_progress(at, seconds)).await?;
    println!("{report}");
    if let Some(path) = json {
        let text = serde_json::to_string_pretty(&report).unwrap_or_default();
        std::fs::write(path, text).map_err(|source| Error::File { path: path.into(), source })?;
    }
    if let Some(path) = plot {
        load::plot(&[&report], path)?;
    }
    match check && !report.is_clean() {
        true => Err(Error::Load { message: "guarantees were broken; see the report".into() }),
        false => Ok(()),
    }
}

fn read_report(path: &Path) -> Result<LoadReport> {
    let text = std::fs::read_to_string(path);
    let text = text.map_err(|source| Error::File { path: path.into(), source })?;
    let parsed = serde_json::from_str(&text);
    parsed.map_err(|e| Error::Parse { path: path.into(), message: e.to_string() })
}

async fn run_demo(seconds: u64) -> Result<()> {
    println!(
        "A fleet of 3 routers, 1 control host, 4 engines and 2 ticket services, in one process."
    );
    println!(
        "harbour-agents call one router, truck-drivers all; both exceed the fleet's capacity."
    );
    let report = demo::run(seconds, |at| show_progress(at, seconds as f64)).await?;
    println!("{report}");
    println!("The gap stays small though customers are spread unevenly: see docs/DISPATCH.md.");
    Ok(())
}

fn show_progress(at: f64, of: f64) {
    let mut err = std::io::stderr();
    if err.is_terminal() {
        // Progress is optional: write errors are ignored.
        let _ = write!(err, "\r{at:6.1} of {of:.0} s ");
        let _ = err.flush();
    }
}
