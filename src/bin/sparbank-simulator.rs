//! Hosts instances of the decision module on the wire: a batch a line in, a reply a line out.
#![forbid(unsafe_code)]

use sparbank::simulator::Host;
use std::io::{self, BufRead, Write};
use std::process::ExitCode;

fn main() -> ExitCode {
    let mut host = Host::new();
    let (mut input, mut output) = (io::stdin().lock(), io::stdout().lock());
    let mut line = Vec::new();
    loop {
        line.clear();
        match input.read_until(b'\n', &mut line) {
            Ok(0) => return ExitCode::SUCCESS,
            Ok(_) => {}
            Err(error) => return stop(&format!("cannot read a batch: {error}")),
        }
        if line.iter().all(u8::is_ascii_whitespace) {
            continue;
        }
        let reply = match host.batch(&line) {
            Ok(reply) => reply,
            Err(error) => return stop(&error.to_string()),
        };
        if let Err(error) = output.write_all(reply.as_bytes()).and_then(|()| output.flush()) {
            return stop(&format!("cannot write a reply: {error}"));
        }
    }
}

fn stop(why: &str) -> ExitCode {
    eprintln!("sparbank-simulator: {why}");
    ExitCode::FAILURE
}
