//! The command line: arguments in, exit code and printed line out.

use crate::frontend::amqp::{add_user, Rights};
use crate::frontend::optional_frontend;
use crate::log::{self, Verbosity};
use crate::node::{Configuration, Options, PreparedNode};
use crate::quota;
use lexopt::prelude::{Long, Short, Value, ValueExt};
use std::fmt::Display;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

const USAGE: &str = "\
usage: sparbank serve|check-config [--amqp FILE] [--ipfix ADDRESS] [--fleet FILE] [--trace]
       (check-config --fleet FILE checks the fleet's budgets alone)
       sparbank amqp-user FILE NAME [--class CLASS]... [--subscriber NAME]   (the password on standard input)
       sparbank version | help";

/// Exit code where serving failed.
const EXIT_SERVING_FAILED: u8 = 1;
/// Exit code for a wrong call or configuration.
const EXIT_INVALID: u8 = 2;

/// What the program was called for.
enum Command {
    Serve(Options),
    CheckConfig(Options),
    CheckQuotaFile(PathBuf),
    AddAmqpUser { users_file: PathBuf, name: String, rights: Rights },
    Version,
    Help,
}

/// What the arguments of the program say.
struct Invocation {
    command: Command,
    verbosity: Verbosity,
}

impl From<Command> for Invocation {
    fn from(command: Command) -> Invocation {
        Invocation { command, verbosity: Verbosity::default() }
    }
}

/// What is printed where a command failed, and the program's exit code.
struct Failure {
    message: String,
    exit_code: u8,
}

impl Failure {
    fn invalid(error: impl Display) -> Failure {
        Failure { message: error.to_string(), exit_code: EXIT_INVALID }
    }

    fn serving_failed(error: impl Display) -> Failure {
        Failure { message: error.to_string(), exit_code: EXIT_SERVING_FAILED }
    }
}

/// Runs the program: 0 when all went well, 1 when serving failed, 2 for a wrong call or configuration.
pub fn run() -> ExitCode {
    let invocation = parse_arguments(lexopt::Parser::from_env());
    log::init(invocation.as_ref().map(|invocation| invocation.verbosity).unwrap_or_default());
    let result = match invocation {
        Ok(Invocation { command, .. }) => execute(command),
        Err(error) => Err(Failure::invalid(format!("{error}; {USAGE}"))),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => {
            tracing::error!("{}", failure.message);
            ExitCode::from(failure.exit_code)
        }
    }
}

fn execute(command: Command) -> Result<(), Failure> {
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

fn serve(options: Options) -> Result<(), Failure> {
    let node = PreparedNode::prepare(options).map_err(Failure::invalid)?;
    node.serve().map_err(Failure::serving_failed)
}

fn check_config(options: &Options) -> Result<(), Failure> {
    let configuration = Configuration::read(&options.frontend_files).map_err(Failure::invalid)?;
    println!("{}: the configuration is right", configuration.node.name);
    Ok(())
}

fn check_quota_file(file: &Path) -> Result<(), Failure> {
    let plan = quota::read_plan(file).map_err(Failure::invalid)?;
    println!("{}: {} seats, {} budgets: right", file.display(), plan.members.len(), plan.quotas.len());
    Ok(())
}

/// Writes a user into the AMQP frontend's users' file; its password is the first line of standard input.
fn add_amqp_user(users_file: &Path, name: &str, rights: Rights) -> Result<(), Failure> {
    let mut line = String::new();
    let read = std::io::stdin().read_line(&mut line);
    read.map_err(|error| Failure::invalid(format!("standard input: {error}")))?;
    let password = line.trim_end_matches(['\r', '\n']);
    if password.is_empty() {
        return Err(Failure::invalid("the password is missing on standard input"));
    }
    add_user(users_file, name, password, rights).map_err(Failure::invalid)
}

/// The arguments, before the sub-command says which of them count.
#[derive(Default)]
struct Arguments {
    sub_command: Option<String>,
    options: Options,
    /// What follows `amqp-user`.
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
                Err(_) => Err("amqp-user takes a file and a name".into()),
            },
            Some("version") => Ok(Command::Version),
            Some("help") => Ok(Command::Help),
            Some(other) => Err(format!("there is no sub-command {other:?}").into()),
            None => Err("a sub-command is missing".into()),
        }
    }
}
