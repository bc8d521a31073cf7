//! The command line.

use crate::config::{AmqpConfig, Config};
use lexopt::prelude::*;
use std::path::PathBuf;
use std::process::ExitCode;

const USAGE: &str = "usage: sparbank serve [--amqp FILE] | check-config [--amqp FILE] | version | help";

/// Runs the program: 0 when all went well, 1 when serving failed, 2 for a wrong call or configuration.
pub fn run() -> ExitCode {
    match command() {
        Ok(Command::Serve(amqp)) => match configuration(amqp) {
            Ok((config, amqp)) => match crate::node::serve(config, amqp) {
                Ok(()) => ExitCode::SUCCESS,
                Err(problem) => stop(&problem, 1),
            },
            Err(problem) => stop(&problem, 2),
        },
        Ok(Command::CheckConfig(amqp)) => match configuration(amqp) {
            Ok((config, _)) => {
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

type Files = Option<PathBuf>;

enum Command {
    Serve(Files),
    CheckConfig(Files),
    Version,
    Help,
}

fn configuration(amqp: Files) -> Result<(Config, Option<AmqpConfig>), String> {
    let config = Config::from_env()?;
    Ok((config, amqp.map(|path| AmqpConfig::read(&path)).transpose()?))
}

fn command() -> Result<Command, lexopt::Error> {
    let mut parser = lexopt::Parser::from_env();
    let (mut word, mut amqp) = (None, None);
    while let Some(arg) = parser.next()? {
        match arg {
            Short('h') | Long("help") => return Ok(Command::Help),
            Short('V') | Long("version") => return Ok(Command::Version),
            Long("amqp") => amqp = Some(PathBuf::from(parser.value()?)),
            Value(value) if word.is_none() => word = Some(value.string()?),
            _ => return Err(arg.unexpected()),
        }
    }
    match word.as_deref() {
        Some("serve") => Ok(Command::Serve(amqp)),
        Some("check-config") => Ok(Command::CheckConfig(amqp)),
        Some("version") => Ok(Command::Version),
        Some("help") => Ok(Command::Help),
        Some(other) => Err(format!("there is no sub-command {other:?}").into()),
        None => Err("a sub-command is missing".into()),
    }
}

fn stop(problem: &str, code: u8) -> ExitCode {
    crate::log::line(format_args!("error {problem}"));
    ExitCode::from(code)
}
