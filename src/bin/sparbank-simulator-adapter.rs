//! Runs the balancer under the simulator: a batch of events per line on standard input, a reply per line on standard
//! output. Ends with exit code 1 and one line on standard error where a batch cannot be read, handled or answered.
#![forbid(unsafe_code)]

use sparbank::simulator_adapter::{BatchError, Host};
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
#[derive(Debug, thiserror::Error)]
enum ServeError {
    #[error("cannot read a batch: {0}")]
    Read(#[source] io::Error),
    #[error(transparent)]
    Batch(#[from] BatchError),
    #[error("cannot write a reply: {0}")]
    Write(#[source] io::Error),
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
        let reply = host.handle_batch(&line)?;
        output.write_all(reply.as_bytes()).map_err(ServeError::Write)?;
        output.flush().map_err(ServeError::Write)?;
    }
}
