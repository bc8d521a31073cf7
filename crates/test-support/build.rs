//! Compiles the launcher that ties a child process to the process that has started it (`launcher.c`).

use std::path::PathBuf;
use std::process::Command;

fn main() {
    println!("cargo::rerun-if-changed=launcher.c");
    let folder = PathBuf::from(std::env::var_os("OUT_DIR").expect("Cargo sets OUT_DIR"));
    let launcher = folder.join("launcher");
    let mut compiler = Command::new("cc");
    compiler.args(["-O1", "-Wall", "-Werror", "-o"]).arg(&launcher).arg("launcher.c");
    let compiled = compiler.status().expect("a C compiler, which links Rust programs too");
    assert!(compiled.success(), "launcher.c does not compile");
    println!("cargo::rustc-env=TEST_LAUNCHER={}", launcher.display());
}
