//! Resource usage of the node's process, read from `/proc`.

use std::fs::read_to_string;

/// Clock ticks per second in `/proc/PID/stat`.
const TICKS_PER_SECOND: f64 = 100.0;
/// The indexes of `utime` and `stime` in `/proc/PID/stat`, counted from the field after the command's name.
const CPU_TIME_FIELDS: std::ops::Range<usize> = 11..13;

/// Returns the CPU seconds that a process has used.
pub fn cpu_seconds(pid: u32) -> f64 {
    let stat = read_to_string(format!("/proc/{pid}/stat")).expect("read /proc/PID/stat");
    let after_name = stat.rsplit(')').next().expect("fields after the command's name");
    let fields = after_name.split_whitespace().skip(CPU_TIME_FIELDS.start).take(CPU_TIME_FIELDS.len());
    let ticks: u64 = fields.map(|field| field.parse::<u64>().expect("a number of ticks")).sum();
    ticks as f64 / TICKS_PER_SECOND
}

/// Returns the resident memory of a process in MB.
pub fn resident_mb(pid: u32) -> f64 {
    let status = read_to_string(format!("/proc/{pid}/status")).expect("read /proc/PID/status");
    let line = status.lines().find(|line| line.starts_with("VmRSS")).expect("a VmRSS line");
    let kilobytes = line.split_whitespace().nth(1).and_then(|kb| kb.parse::<f64>().ok());
    kilobytes.expect("a number of kB") / 1024.0
}
