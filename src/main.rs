//! Entry point of the `sparbank` program. `README.md` describes how to run it; [`sparbank::cli`] parses its arguments.
#![forbid(unsafe_code)]

fn main() -> std::process::ExitCode {
    sparbank::cli::run()
}
