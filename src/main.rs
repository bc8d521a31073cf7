//! The node: `README.md` says how to start it, and [`sparbank::cli`] parses its arguments.
#![forbid(unsafe_code)]

fn main() -> std::process::ExitCode {
    sparbank::cli::run()
}
