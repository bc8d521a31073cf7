//! Runs the balancer under the simulator: a batch of events per line on standard input, a reply per line on standard
//! output. Ends with exit code 1 and one line on standard error where a batch cannot be read, handled or answered.
#![forbid(unsafe_code)]

use sparbank::simulator_adapter::{BatchError, Host};
use std::fmt;
use std::io::{self, BufRead, Write};
use std::process::ExitCode;

fn main() -> ExitCode {
    match serve(&mut io::stdin().lock(), &mut io::stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("sparbank-simulator-adapter: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Why the program stops before the end of its input.
enum ServeError {
    Read(io::Error),
    Batch(BatchError),
    Write(io::Error),
}

impl fmt::Display for ServeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ServeError::Read(error) => write!(f, "cannot read a batch: {error}"),
            ServeError::Batch(error) => write!(f, "{error}"),
            ServeError::Write(error) => write!(f, "cannot write a reply: {error}"),
        }
    }
}

/// Answers batches until the input ends. Blank lines are skipped.
fn serve(input: &mut impl BufRead, output: &mut impl Write) -> Result<(), ServeError> {
    let mut host = Host::new();
    let mut line = Vec::new();
    loop {
        line.clear();
        if input.read_until(b'\n', &mut line).map_err(ServeError::Read)? == 0 {
            return Ok(());
        }
        if line.iter().all(u8::is_ascii_whitespace) {
            continue;
        }
        let reply = host.handle_batch(&line).map_err(ServeError::Batch)?;
        output.write_all(reply.as_bytes()).map_err(ServeError::Write)?;
        output.flush().map_err(ServeError::Write)?;
    }
}
