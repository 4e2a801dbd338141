//! The `bramblecrank` command.

mod app;
mod clap_app;
mod command;
mod operate;
#[path = "../../../platform/mod.rs"]
mod platform;
mod quarantine;
mod rollout;

use std::process::ExitCode;

fn main() -> ExitCode {
    let matches = clap_app::build().get_matches();
    let app = match app::App::from_matches(&matches) {
        Ok(app) => app,
        Err(error) => return fail(&error.to_string()),
    };
    match command::run(app) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => fail(&error.to_string()),
    }
}

fn fail(message: &str) -> ExitCode {
    eprintln!("bramblecrank: {message}");
    ExitCode::FAILURE
}
