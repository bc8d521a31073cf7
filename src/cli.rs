//! The command line: parses the arguments into a command, executes it, and reports a failure as one log line and an
//! exit code.

use crate::frontend::amqp::{add_user, Rights};
use crate::frontend::optional_frontend;
use crate::log::{self, Verbosity};
use crate::node::{self, Configuration, ConfigurationError, Options, PrepareError, PreparedNode, ServeError};
use crate::quota::{self, QuotaFileError};
use lexopt::prelude::{Long, Short, Value, ValueExt};
use std::error::Error;
use std::io;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use thiserror::Error;

const USAGE: &str = "\
usage: sparbank serve|check-config [--amqp FILE] [--ipfix ADDRESS] [--fleet FILE] [--trace]
       (check-config --fleet FILE checks the fleet's budgets alone)
       sparbank amqp-user FILE NAME [--class CLASS]... [--subscriber NAME]   (the password on standard input)
       sparbank version | help";

/// The exit code if the node could not start serving or had to stop.
const EXIT_SERVING_FAILED: u8 = 1;
/// The exit code if an argument, the configuration or an input is invalid or cannot be read.
const EXIT_INVALID_INPUT: u8 = 2;

/// A sub-command and its options.
enum Command {
    Serve(Options),
    CheckConfig(Options),
    CheckQuotaFile(PathBuf),
    AddAmqpUser { users_file: PathBuf, name: String, rights: Rights },
    Version,
    Help,
}

/// The parsed command line.
struct Invocation {
    command: Command,
    verbosity: Verbosity,
}

impl From<Command> for Invocation {
    fn from(command: Command) -> Invocation {
        Invocation { command, verbosity: Verbosity::default() }
    }
}

/// Why the program failed. Logged as one line.
#[derive(Debug, Error)]
enum CliError {
    #[error("{0}; {USAGE}")]
    Arguments(#[from] lexopt::Error),
    #[error(transparent)]
    Prepare(#[from] PrepareError),
    #[error(transparent)]
    Configuration(#[from] ConfigurationError),
    #[error(transparent)]
    QuotaFile(#[from] QuotaFileError),
    #[error("standard input: {0}")]
    StandardInput(#[source] io::Error),
    #[error("standard input: the password is missing")]
    MissingPassword,
    #[error("{0}")]
    UsersFile(Box<dyn Error>),
    #[error(transparent)]
    Serve(#[from] ServeError),
}

impl CliError {
    fn exit_code(&self) -> u8 {
        match self {
            CliError::Serve(_) => EXIT_SERVING_FAILED,
            CliError::Arguments(_)
            | CliError::Prepare(_)
            | CliError::Configuration(_)
            | CliError::QuotaFile(_)
            | CliError::StandardInput(_)
            | CliError::MissingPassword
            | CliError::UsersFile(_) => EXIT_INVALID_INPUT,
        }
    }
}

/// Runs the program. The exit code is 0 on success, 1 if serving failed, and 2 if an argument, the configuration or an
/// input is invalid.
pub fn run() -> ExitCode {
    let invocation = parse_arguments(lexopt::Parser::from_env());
    log::init(invocation.as_ref().map(|invocation| invocation.verbosity).unwrap_or_default());
    let result = invocation.map_err(CliError::from).and_then(|invocation| execute(invocation.command));
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            tracing::error!("{error}");
            ExitCode::from(error.exit_code())
        }
    }
}

fn execute(command: Command) -> Result<(), CliError> {
    match command {
        Command::Serve(options) => serve(options),
        Command::CheckConfig(options) => check_config(&options),
        Command::CheckQuotaFile(file) => check_quota_file(&file),
        Command::AddAmqpUser { users_file, name, rights } => add_amqp_user(&users_file, &name, rights),
        Command::Version => {
            println!("sparbank {}", env!("CARGO_PKG_VERSION"));
            Ok(())
        }
        Command::Help => {
            println!("{USAGE}");
            Ok(())
        }
    }
}

fn serve(options: Options) -> Result<(), CliError> {
    let prepared = PreparedNode::prepare(options)?;
    Ok(node::serve(prepared)?)
}

fn check_config(options: &Options) -> Result<(), CliError> {
    let configuration = Configuration::read(&options.frontend_files)?;
    println!("{}: the configuration is right", configuration.node.name);
    Ok(())
}

fn check_quota_file(file: &Path) -> Result<(), CliError> {
    let plan = quota::read_plan(file)?;
    println!("{}: {} seats, {} budgets: right", file.display(), plan.members.len(), plan.quotas.len());
    Ok(())
}

/// Adds a user to the AMQP frontend's users file. The password is read from the first line of standard input.
fn add_amqp_user(users_file: &Path, name: &str, rights: Rights) -> Result<(), CliError> {
    let mut line = String::new();
    io::stdin().read_line(&mut line).map_err(CliError::StandardInput)?;
    let password = line.trim_end_matches(['\r', '\n']);
    if password.is_empty() {
        return Err(CliError::MissingPassword);
    }
    add_user(users_file, name, password, rights).map_err(|error| CliError::UsersFile(Box::new(error)))
}

/// The arguments as they are collected. The sub-command determines which of them apply.
#[derive(Default)]
struct Arguments {
    sub_command: Option<String>,
    options: Options,
    /// The positional arguments of `amqp-user`.
    values: Vec<String>,
    rights: Rights,
    verbosity: Verbosity,
}

fn parse_arguments(mut parser: lexopt::Parser) -> Result<Invocation, lexopt::Error> {
    let mut arguments = Arguments::default();
    while let Some(argument) = parser.next()? {
        match argument {
            Short('h') | Long("help") => return Ok(Command::Help.into()),
            Short('V') | Long("version") => return Ok(Command::Version.into()),
            Long("trace") => arguments.verbosity = Verbosity::Trace,
            Long("ipfix") => arguments.options.flow_collector = Some(parser.value()?.parse()?),
            Long("fleet") => arguments.options.quota_file = Some(PathBuf::from(parser.value()?)),
            Long("class") => {
                let class = parser.value()?.string()?;
                arguments.rights.classes.get_or_insert_default().push(class);
            }
            Long("subscriber") => arguments.rights.subscriber = Some(parser.value()?.string()?),
            Long(name) => {
                let Some(frontend) = optional_frontend(name) else { return Err(argument.unexpected()) };
                let file = PathBuf::from(parser.value()?);
                arguments.options.frontend_files.set(frontend, file);
            }
            Value(value) if arguments.sub_command.as_deref() == Some("amqp-user") => {
                arguments.values.push(value.string()?);
            }
            Value(value) if arguments.sub_command.is_none() => {
                arguments.sub_command = Some(value.string()?);
            }
            _ => return Err(argument.unexpected()),
        }
    }
    let verbosity = arguments.verbosity;
    Ok(Invocation { command: arguments.into_command()?, verbosity })
}

impl Arguments {
    fn into_command(self) -> Result<Command, lexopt::Error> {
        match self.sub_command.as_deref() {
            Some("serve") => Ok(Command::Serve(self.options)),
            Some("check-config") => match self.options.quota_file {
                Some(file) => Ok(Command::CheckQuotaFile(file)),
                None => Ok(Command::CheckConfig(self.options)),
            },
            Some("amqp-user") => match <[String; 2]>::try_from(self.values) {
                Ok([file, name]) => {
                    Ok(Command::AddAmqpUser { users_file: file.into(), name, rights: self.rights })
                }
                Err(_) => Err("amqp-user needs FILE and NAME".into()),
            },
            Some("version") => Ok(Command::Version),
            Some("help") => Ok(Command::Help),
            Some(other) => Err(format!("unknown sub-command {other:?}").into()),
            None => Err("missing sub-command".into()),
        }
    }
}
