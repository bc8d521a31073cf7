//! What the system says of the node's process.

use std::fs::read_to_string;

/// Clock ticks a second in `/proc/PID/stat`.
const TICKS_PER_SECOND: f64 = 100.0;
/// The fields `utime` and `stime` of `/proc/PID/stat`, counted from the one after the command's name.
const CPU_TIME_FIELDS: std::ops::Range<usize> = 11..13;

/// CPU seconds that a process has used.
pub fn cpu_seconds(pid: u32) -> f64 {
    let stat = read_to_string(format!("/proc/{pid}/stat")).expect("its stat");
    let after_name = stat.rsplit(')').next().expect("its fields");
    let fields = after_name.split_whitespace().skip(CPU_TIME_FIELDS.start).take(CPU_TIME_FIELDS.len());
    let ticks: u64 = fields.map(|field| field.parse::<u64>().expect("ticks")).sum();
    ticks as f64 / TICKS_PER_SECOND
}

/// Megabytes of memory that a process has resident.
pub fn resident_mb(pid: u32) -> f64 {
    let status = read_to_string(format!("/proc/{pid}/status")).expect("its status");
    let line = status.lines().find(|line| line.starts_with("VmRSS")).expect("VmRSS");
    let kilobytes = line.split_whitespace().nth(1).and_then(|kb| kb.parse::<f64>().ok());
    kilobytes.expect("kB") / 1024.0
}
