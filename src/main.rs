//! The real node: see the README.
#![forbid(unsafe_code)]

fn main() -> std::process::ExitCode {
    sparbank::cli::run()
}
