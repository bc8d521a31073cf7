//! The command line.

use crate::config::Config;
use lexopt::prelude::*;
use std::process::ExitCode;

const USAGE: &str = "usage: sparbank serve | version | check-config | help";

/// Runs the program: 0 when all went well, 1 when serving failed, 2 for a wrong call or configuration.
pub fn run() -> ExitCode {
    match command() {
        Ok(Command::Serve) => match Config::from_env() {
            Ok(config) => match crate::node::serve(config) {
                Ok(()) => ExitCode::SUCCESS,
                Err(problem) => stop(&problem, 1),
            },
            Err(problem) => stop(&problem, 2),
        },
        Ok(Command::CheckConfig) => match Config::from_env() {
            Ok(config) => {
                println!("{}: the configuration is right", config.name);
                ExitCode::SUCCESS
            }
            Err(problem) => stop(&problem, 2),
        },
        Ok(Command::Version) => {
            println!("sparbank {}", env!("CARGO_PKG_VERSION"));
            ExitCode::SUCCESS
        }
        Ok(Command::Help) => {
            println!("{USAGE}");
            ExitCode::SUCCESS
        }
        Err(problem) => stop(&format!("{problem}; {USAGE}"), 2),
    }
}

enum Command {
    Serve,
    CheckConfig,
    Version,
    Help,
}

fn command() -> Result<Command, lexopt::Error> {
    let mut parser = lexopt::Parser::from_env();
    let mut command = None;
    while let Some(arg) = parser.next()? {
        match arg {
            Short('h') | Long("help") => return Ok(Command::Help),
            Short('V') | Long("version") => return Ok(Command::Version),
            Value(word) if command.is_none() => {
                command = Some(match word.to_str() {
                    Some("serve") => Command::Serve,
                    Some("check-config") => Command::CheckConfig,
                    Some("version") => Command::Version,
                    Some("help") => Command::Help,
                    _ => return Err(Value(word).unexpected()),
                });
            }
            _ => return Err(arg.unexpected()),
        }
    }
    command.ok_or_else(|| "a sub-command is missing".into())
}

fn stop(problem: &str, code: u8) -> ExitCode {
    crate::log::line(format_args!("error {problem}"));
    ExitCode::from(code)
}
