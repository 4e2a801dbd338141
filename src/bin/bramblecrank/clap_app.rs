//! Defines the command line; `app` converts what was given.

use clap::{Arg, ArgAction, Command, crate_version, value_parser};
use std::net::SocketAddr;
use std::path::PathBuf;

const ABOUT: &str = "A router fleet for customers who share capacity fairly";

const LONG_ABOUT: &str = "\
A router fleet for customers who share capacity fairly.

Callers enter through any router; the fleet decides which router admits, which
endpoint runs the request, when a customer waits, and when a refusal is final.

Examples:
  bramblecrank demo
      A complete fleet in one process, with a small load and its measurements.
  bramblecrank site perak --out /tmp/perak
      Settings files of a sample site, ready to start as separate processes.
  bramblecrank check router.yaml --kind router
      Checks a settings file before it is used.
  bramblecrank config apply customers.yaml --to 127.0.0.1:20200
      Changes the configuration.
  bramblecrank explain 3-19a2b3c4d5-17 --to 127.0.0.1:20301
      Follows one request from admission to answer.";

/// The complete command line.
pub fn build() -> Command {
    Command::new("bramblecrank")
        .version(crate_version!())
        .about(ABOUT)
        .long_about(LONG_ABOUT)
        .subcommand_required(true)
        .arg_required_else_help(true)
        .arg(
            Arg::new("log-level")
                .long("log-level")
                .global(true)
                .value_parser(["error", "warn", "info", "debug", "trace"])
                .default_value("info")
                .help("Least severe log lines that are written"),
        )
        .arg(
            Arg::new("log-layout")
                .long("log-layout")
                .global(true)
                .value_parser(["text", "logfmt", "json", "plain"])
                .default_value("text")
                .help("How log lines are written to standard error"),
        )
        .subcommand(process("router", "Runs a router"))
        .subcommand(process("control", "Runs a control host"))
        .subcommand(emulate())
        .subcommand(check())
        .subcommand(config())
        .subcommand(endpoint())
        .subcommand(hall())
        .subcommand(rollout())
        .subcommand(quarantine())
        .subcommand(host())
        .subcommand(explain())
        .subcommand(load())
        .subcommand(site())
        .subcommand(
            Command::new("demo")
                .about("Runs a complete fleet in one process with a small load, and reports on it")
                .arg(
                    Arg::new("seconds")
                        .long("seconds")
                        .value_parser(value_parser!(u64).range(3..=600))
                        .default_value("8")
                        .help("How long the load runs"),
                ),
        )
}

fn process(name: &'static str, about: &'static str) -> Command {
    Command::new(name).about(about).arg(settings())
}

fn settings() -> Arg {
    Arg::new("settings")
        .long("settings")
        .short('s')
        .required(true)
        .value_name("FILE")
        .value_parser(value_parser!(PathBuf))
        .help("The settings file, in YAML")
}

fn file(help: &'static str) -> Arg {
    Arg::new("file")
        .required(true)
        .value_name("FILE")
        .value_parser(value_parser!(PathBuf))
        .help(help)
}

fn to() -> Arg {
    Arg::new("to")
        .long("to")
        .short('t')
        .required(true)
        .value_name("IP:PORT")
        .action(ArgAction::Append)
        .value_delimiter(',')
        .value_parser(value_parser!(SocketAddr))
        .help("The operator port of a host; several are tried in turn")
}

fn json() -> Arg {
    Arg::new("json").long("json").action(ArgAction::SetTrue).help("Print JSON instead of text")
}

fn emulate() -> Command {
    Command::new("emulate")
        .about("Runs an emulated engine, service or platform")
        .subcommand_required(true)
        .subcommand(process("engine", "An emulated model engine"))
        .subcommand(process("service", "An emulated plain service with a ledger"))
        .subcommand(process("platform", "An emulated platform's list of hosts"))
}

fn check() -> Command {
    Command::new("check")
        .about("Checks a settings or configuration file")
        .long_about(
            "Checks a file without using it. An invalid one is refused with file, line, field \
             and remedy.\n\nExample:\n  bramblecrank check site.yaml --kind configuration",
        )
        .arg(file("The file to check"))
        .arg(
            Arg::new("kind")
                .long("kind")
                .short('k')
                .value_parser([
                    "router",
                    "control",
                    "engine",
                    "service",
                    "platform",
                    "configuration",
                    "load",
                ])
                .default_value("configuration")
                .help("What the file is for"),
        )
}

fn config() -> Command {
    Command::new("config")
        .about("Reads and changes the agreed configuration")
        .subcommand_required(true)
        .subcommand(
            Command::new("apply")
                .about("Declares, replaces and removes what a document names")
                .long_about(
                    "Applies a configuration document as one change. With --base the change is \
                     refused if another came first. If the answer is lost, the same operation \
                     is sent again; it is applied only once.\n\nExample:\n  \
                     bramblecrank config apply customers.yaml --to 127.0.0.1:20200 --base 7",
                )
                .arg(file("The document, in YAML"))
                .arg(to())
                .arg(
                    Arg::new("base")
                        .long("base")
                        .value_parser(value_parser!(u64))
                        .help("The version that the change builds on"),
                )
                .arg(
                    Arg::new("operation")
                        .long("operation")
                        .help("Names the change, to send it again; random by default"),
                )
                .arg(json()),
        )
        .subcommand(Command::new("get").about("Prints the configuration").arg(to()).arg(json()))
        .subcommand(
            Command::new("diff")
                .about("Shows what applying a document would change")
                .arg(file("The document, in YAML"))
                .arg(to()),
        )
        .subcommand(
            Command::new("history").about("Lists recent changes").arg(to()).arg(json()).arg(
                Arg::new("most")
                    .long("most")
                    .value_parser(value_parser!(u32))
                    .default_value("20")
                    .help("Most changes to list"),
            ),
        )
        .subcommand(
            Command::new("status")
                .about("Shows which host has which version in force, and since when")
                .arg(to())
                .arg(json()),
        )
}

fn endpoint() -> Command {
    let name = || Arg::new("name").required(true).help("The endpoint's name");
    Command::new("endpoint")
        .about("Drains and restores endpoints")
        .subcommand_required(true)
        .subcommand(Command::new("drain").about("Sends it no new requests").arg(name()).arg(to()))
        .subcommand(Command::new("restore").about("Sends it requests again").arg(name()).arg(to()))
}

fn hall() -> Command {
    let name = || Arg::new("name").required(true).help("The data hall's name");
    let order = |verb: &'static str, about: &'static str| {
        Command::new(verb).about(about).arg(name()).arg(to())
    };
    Command::new("hall")
        .about("Drains and restores data halls")
        .long_about(
            "Drains or restores the registered endpoints of a data hall. Running requests end \
             there; no new ones are sent to it, even after control hosts restart. An \
             order may be repeated.\n\nExample:\n  bramblecrank hall drain perak-a --to \
             10.1.0.41:7255",
        )
        .subcommand_required(true)
        .subcommand(order("drain", "Sends its endpoints no new requests"))
        .subcommand(order("restore", "Sends its endpoints requests again"))
}

fn rollout() -> Command {
    let service = || Arg::new("service").required(true).help("The service's name");
    let version = Arg::new("version").required(true).help("The release, as its endpoints name it");
    let within = Arg::new("within")
        .long("within")
        .required(true)
        .value_name("SECONDS")
        .value_parser(value_parser!(f64))
        .help("Seconds within which it must be decided");
    let start = Command::new("start").about("Orders a release to be rolled out");
    let status = Command::new("status").about("Shows the newest roll-out of a service");
    Command::new("rollout")
        .about("Rolls out a release of a service")
        .long_about(
            "Rolls out a release of a service: a small part of its requests goes to the \
             release's endpoints first, then all of them, or none if it is bad. Order it before \
             they are started: until then they get requests like any other. An order may be \
             repeated.\n\nExample:\n  \
             bramblecrank rollout start llm v2 --within 30 --to 10.1.0.41:7255",
        )
        .subcommand_required(true)
        .subcommand(start.arg(service()).arg(version).arg(within).arg(to()))
        .subcommand(status.arg(service()).arg(to()).arg(json()))
}

fn quarantine() -> Command {
    let suspect = Arg::new("suspect").required(true).help("What to release, as the list names it");
    let list = Command::new("list").about("Lists what is refused or on trial");
    let release = Command::new("release").about("Lets it run again");
    Command::new("quarantine")
        .about("Shows what crashes endpoints, and lets it run again")
        .long_about(
            "Shows what is refused because it crashed the endpoints that ran it: a request, or all \
             requests of a customer to a service whose prompts have certain parts. Lets it run \
             again before the refusal expires, for example after a new release of the \
             endpoints.\n\nExamples:\n  bramblecrank quarantine release \
             market-traders/11492f17cbd67f840cde18bf27023bf2 --to 10.1.0.41:7255\n  \
             bramblecrank quarantine release market-traders/llm/with-part:91bd3f06 \
             --to 10.1.0.41:7255",
        )
        .subcommand_required(true)
        .subcommand(list.arg(to()).arg(json()))
        .subcommand(release.arg(suspect).arg(to()))
}

fn host() -> Command {
    let ids = |name: &'static str, help: &'static str| {
        Arg::new(name)
            .long(name)
            .value_delimiter(',')
            .action(ArgAction::Append)
            .value_parser(value_parser!(u32))
            .help(help)
    };
    Command::new("host")
        .about("Controls single hosts of the fleet")
        .subcommand_required(true)
        .subcommand(Command::new("stop").about("Begins a planned stop").arg(to()))
        .subcommand(
            Command::new("replace-control")
                .about("Adds a control host's store to the group")
                .long_about(
                    "Adds the store of a control host to the group. It counts in majorities \
                     only once it has caught up; the store named by --old-store is then \
                     removed.\n\nExample:\n  bramblecrank host replace-control --host 102 \
                     --old-store 91b2c3d4e5f60718 --to 127.0.0.1:20200",
                )
                .arg(
                    Arg::new("host")
                        .long("host")
                        .required(true)
                        .value_parser(value_parser!(u32))
                        .help("The host whose store is added"),
                )
                .arg(Arg::new("old-store").long("old-store").help("The store that it replaces"))
                .arg(to()),
        )
        .subcommand(
            Command::new("rehearse")
                .about("Cuts links of a host whose settings allow it; without flags, restores all")
                .arg(ids("cut-to", "Hosts to which nothing is sent"))
                .arg(ids("cut-from", "Hosts from which nothing is received"))
                .arg(
                    Arg::new("cut-halls")
                        .long("cut-halls")
                        .value_delimiter(',')
                        .action(ArgAction::Append)
                        .help("Data halls whose endpoints are out of reach"),
                )
                .arg(to()),
        )
}

fn explain() -> Command {
    Command::new("explain")
        .about("Shows one request from admission to answer, with the reason for each decision")
        .arg(Arg::new("request").required(true).help("The number from x-bramblecrank-request"))
        .arg(to())
        .arg(json())
}

fn load() -> Command {
    Command::new("load")
        .about("Runs a scripted load against a running fleet and reports measurements")
        .long_about(
            "Runs the load that a file describes and prints fairness gap, utilisation, control \
             traffic, latencies and faults, as docs/MEASURES.md defines them.\n\nExamples:\n  \
             bramblecrank load run bench/perak-morning.yaml --json out.json --plot out.svg\n  \
             bramblecrank load compare before.json after.json",
        )
        .subcommand_required(true)
        .subcommand(
            Command::new("run")
                .about("Runs a load file")
                .arg(file("The load file, in YAML"))
                .arg(output("json", "Where to write the result as JSON"))
                .arg(output("plot", "Where to draw the gap over time, as SVG"))
                .arg(
                    Arg::new("check").long("check").action(ArgAction::SetTrue).help(
                        "Fail if anything was doubled, crossed, truncated or falsely not run",
                    ),
                ),
        )
        .subcommand(
            Command::new("compare")
                .about("Prints two results side by side")
                .arg(file("The earlier result"))
                .arg(
                    Arg::new("other")
                        .required(true)
                        .value_name("FILE")
                        .value_parser(value_parser!(PathBuf))
                        .help("The later result"),
                ),
        )
}

fn output(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).value_name("FILE").value_parser(value_parser!(PathBuf)).help(help)
}

fn site() -> Command {
    Command::new("site")
        .about("Writes settings, configuration and load files of a sample site")
        .arg(Arg::new("name").required(true).value_parser(["perak", "bangkok"]).help("The site"))
        .arg(output("out", "The folder to write to").required(true))
        .arg(
            Arg::new("base-port")
                .long("base-port")
                .value_parser(value_parser!(u16).range(1_024..=60_000))
                .default_value("20000")
                .help("The first of 1,000 ports that the site's processes use"),
        )
        .arg(
            Arg::new("alone")
                .long("alone")
                .action(ArgAction::SetTrue)
                .help("Each router dispatches on its own: the baseline for measurements"),
        )
}
