//! The command line.

use crate::config::Loaded;
use crate::front::amqp::{add_user, Rights};
use crate::front::{Files, OPTIONAL};
use lexopt::prelude::*;
use sparbank_quota::Plan;
use std::net::SocketAddr;
use std::os::fd::OwnedFd;
use std::path::PathBuf;
use std::process::ExitCode;

const USAGE: &str = "\
usage: sparbank serve|check-config [--amqp FILE] [--ipfix ADDRESS] [--fleet FILE] [--trace]
       (check-config --fleet FILE checks the fleet's budgets alone)
       sparbank amqp-user FILE NAME [--class CLASS]... [--subscriber NAME]   (the password on standard input)
       sparbank version | help";

/// Runs the program: 0 when all went well, 1 when serving failed, 2 for a wrong call or configuration.
pub fn run() -> ExitCode {
    match command() {
        Ok(Command::Serve(options)) => match prepared(&options) {
            Ok((loaded, passed, fleet)) => match crate::node::serve(loaded, options, passed, fleet) {
                Ok(()) => ExitCode::SUCCESS,
                Err(problem) => stop(&problem, 1),
            },
            Err(problem) => stop(&problem, 2),
        },
        Ok(Command::CheckFleet(file)) => match crate::quota::read(&file) {
            Ok(plan) => {
                println!(
                    "{}: {} seats, {} budgets: right",
                    file.display(),
                    plan.seats.len(),
                    plan.budgets.len()
                );
                ExitCode::SUCCESS
            }
            Err(problem) => stop(&problem, 2),
        },
        Ok(Command::CheckConfig(options)) => match Loaded::read(&options.fronts) {
            Ok(loaded) => {
                println!("{}: the configuration is right", loaded.node.name);
                ExitCode::SUCCESS
            }
            Err(problem) => stop(&problem, 2),
        },
        Ok(Command::AmqpUser { file, name, rights }) => match amqp_user(&file, &name, rights) {
            Ok(()) => ExitCode::SUCCESS,
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

/// What a node is started with.
type Prepared = (Loaded, Option<OwnedFd>, Option<(Plan, usize)>);

/// All that is configured is right, or nothing starts.
fn prepared(options: &Options) -> Result<Prepared, String> {
    let loaded = Loaded::read(&options.fronts)?;
    let seat = |file: &PathBuf| crate::quota::seat(file, &loaded.node.name, loaded.node.sockets);
    let fleet = options.fleet.as_ref().map(seat).transpose()?;
    Ok((loaded, crate::handover::passed()?, fleet))
}

/// What is off by default.
#[derive(Default)]
pub(crate) struct Options {
    pub(crate) fronts: Files,
    pub(crate) ipfix: Option<SocketAddr>,
    /// The fleet's budgets.
    pub(crate) fleet: Option<PathBuf>,
    /// What follows the sub-command.
    values: Vec<String>,
    rights: Rights,
}

enum Command {
    Serve(Options),
    CheckConfig(Options),
    CheckFleet(PathBuf),
    AmqpUser { file: PathBuf, name: String, rights: Rights },
    Version,
    Help,
}

fn command() -> Result<Command, lexopt::Error> {
    let mut parser = lexopt::Parser::from_env();
    let (mut word, mut options) = (None, Options::default());
    while let Some(arg) = parser.next()? {
        match arg {
            Short('h') | Long("help") => return Ok(Command::Help),
            Short('V') | Long("version") => return Ok(Command::Version),
            Long(name) if optional(name).is_some() => {
                if let Some(which) = optional(name) {
                    options.fronts.retain(|(front, _)| *front != which);
                    options.fronts.push((which, PathBuf::from(parser.value()?)));
                }
            }
            Long("trace") => crate::log::trace_on(),
            Long("ipfix") => options.ipfix = Some(parser.value()?.parse()?),
            Long("fleet") => options.fleet = Some(PathBuf::from(parser.value()?)),
            Long("class") => {
                options.rights.classes.get_or_insert_default().push(parser.value()?.string()?);
            }
            Long("subscriber") => options.rights.subscriber = Some(parser.value()?.string()?),
            Value(value) if word.as_deref() == Some("amqp-user") => options.values.push(value.string()?),
            Value(value) if word.is_none() => word = Some(value.string()?),
            _ => return Err(arg.unexpected()),
        }
    }
    match word.as_deref() {
        Some("serve") => Ok(Command::Serve(options)),
        Some("check-config") => match options.fleet {
            Some(file) => Ok(Command::CheckFleet(file)),
            None => Ok(Command::CheckConfig(options)),
        },
        Some("amqp-user") => match <[String; 2]>::try_from(options.values) {
            Ok([file, name]) => Ok(Command::AmqpUser { file: file.into(), name, rights: options.rights }),
            Err(_) => Err("amqp-user takes a file and a name".into()),
        },
        Some("version") => Ok(Command::Version),
        Some("help") => Ok(Command::Help),
        Some(other) => Err(format!("there is no sub-command {other:?}").into()),
        None => Err("a sub-command is missing".into()),
    }
}

/// Writes a user into the AMQP front's users' file; its password is the first line of standard input.
fn amqp_user(file: &std::path::Path, name: &str, rights: Rights) -> Result<(), String> {
    let mut line = String::new();
    std::io::stdin().read_line(&mut line).map_err(|e| format!("standard input: {e}"))?;
    let password = line.trim_end_matches(['\r', '\n']);
    if password.is_empty() {
        return Err("the password is missing on standard input".to_string());
    }
    add_user(file, name, password, rights).map_err(|error| error.to_string())
}

/// The optional front that an option turns on.
fn optional(name: &str) -> Option<usize> {
    OPTIONAL.iter().position(|front| front.name == name)
}

fn stop(problem: &str, code: u8) -> ExitCode {
    crate::log::line(format_args!("error {problem}"));
    ExitCode::from(code)
}
