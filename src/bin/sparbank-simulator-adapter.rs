//! Runs the balancer under the simulator: reads a batch of events per line from standard input, and writes a reply per
//! line to standard output. If a batch cannot be read, handled or answered, the program prints one line on standard
//! error and exits with code 1.
#![forbid(unsafe_code)]

use sparbank::simulator_adapter::{BatchError, Host};
use std::io::{self, BufRead, Write};
use std::process::ExitCode;

fn main() -> ExitCode {
    match run(&mut io::stdin().lock(), &mut io::stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("sparbank-simulator-adapter: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Why the program stops before the end of its input.
#[derive(Debug, thiserror::Error)]
enum AdapterError {
    #[error("cannot read a batch: {0}")]
    Read(#[source] io::Error),
    #[error(transparent)]
    Batch(#[from] BatchError),
    #[error("cannot write a reply: {0}")]
    Write(#[source] io::Error),
}

/// Answers batches until the end of the input. Blank lines are skipped.
fn run(input: &mut impl BufRead, output: &mut impl Write) -> Result<(), AdapterError> {
    let mut host = Host::new();
    let mut line = Vec::new();
    loop {
        line.clear();
        if input.read_until(b'\n', &mut line).map_err(AdapterError::Read)? == 0 {
            return Ok(());
        }
        if line.iter().all(u8::is_ascii_whitespace) {
            continue;
        }
        let reply = host.handle_batch(&line)?;
        output.write_all(reply.as_bytes()).map_err(AdapterError::Write)?;
        output.flush().map_err(AdapterError::Write)?;
    }
}
