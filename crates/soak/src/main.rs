//! Runs the soak test with many seeds: `sparbank-soak --program FILE --seeds 1..40 [--family shutdowns|restorations|amqp] [--cells 8] [--nodes 4]
//! [--minimize]`.

use lexopt::prelude::{Long, ValueExt};
use sparbank_soak::{minimize, run, Family, Options, Report, Schedule};
use std::collections::VecDeque;
use std::ops::Range;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Mutex;

const USAGE: &str =
    "usage: sparbank-soak --program FILE [--family faults|shutdowns|restorations|amqp] [--seeds FROM..TO] [--cells N] [--nodes N] \
     [--folder DIR] [--minimize]";

struct Arguments {
    options: Options,
    family: Family,
    seeds: Range<u64>,
    /// Number of runs at a time (`--cells`).
    parallel_runs: usize,
    minimize: bool,
}

fn main() -> ExitCode {
    match parse_arguments() {
        Ok(arguments) => run_all(&arguments),
        Err(error) => {
            eprintln!("{error}; {USAGE}");
            ExitCode::from(2)
        }
    }
}

fn parse_arguments() -> Result<Arguments, lexopt::Error> {
    let mut arguments = Arguments {
        options: Options { program: PathBuf::new(), nodes: 4, folder: std::env::temp_dir() },
        family: Family::Faults,
        seeds: 1..9,
        parallel_runs: 8,
        minimize: false,
    };
    let mut parser = lexopt::Parser::from_env();
    while let Some(argument) = parser.next()? {
        match argument {
            Long("program") => arguments.options.program = PathBuf::from(parser.value()?),
            Long("nodes") => arguments.options.nodes = parser.value()?.parse()?,
            Long("folder") => arguments.options.folder = PathBuf::from(parser.value()?),
            Long("cells") => arguments.parallel_runs = parser.value()?.parse()?,
            Long("family") => arguments.family = parse_family(&parser.value()?.string()?)?,
            Long("seeds") => arguments.seeds = parse_seeds(&parser.value()?.string()?)?,
            Long("minimize") => arguments.minimize = true,
            _ => return Err(argument.unexpected()),
        }
    }
    if arguments.options.program.as_os_str().is_empty() {
        return Err("missing option --program".into());
    }
    if !arguments.options.folder.is_dir() {
        return Err(format!("--folder: {} is not a folder", arguments.options.folder.display()).into());
    }
    Ok(arguments)
}

fn parse_seeds(text: &str) -> Result<Range<u64>, lexopt::Error> {
    const FORMAT: &str = "--seeds takes a range FROM..TO of unsigned integers";
    let (from, to) = text.split_once("..").ok_or(FORMAT)?;
    let parse_seed = |number: &str| number.parse::<u64>().map_err(|_| lexopt::Error::from(FORMAT));
    let seeds = parse_seed(from)?..parse_seed(to)?;
    if seeds.is_empty() {
        return Err(format!("--seeds: {text} selects no seed, the end of a range is exclusive").into());
    }
    Ok(seeds)
}

fn parse_family(text: &str) -> Result<Family, lexopt::Error> {
    match text {
        "faults" => Ok(Family::Faults),
        "shutdowns" => Ok(Family::Shutdowns),
        "restorations" => Ok(Family::Restorations),
        "amqp" => Ok(Family::Amqp),
        _ => Err("--family takes faults, shutdowns, restorations or amqp".into()),
    }
}

fn run_all(arguments: &Arguments) -> ExitCode {
    let seeds = Mutex::new(arguments.seeds.clone().collect::<VecDeque<u64>>());
    let reports = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for _ in 0..arguments.parallel_runs {
            scope.spawn(|| loop {
                let Some(seed) = seeds.lock().expect("no run panicked").pop_front() else { return };
                let schedule = Schedule::new(arguments.family, seed);
                let report = run(&arguments.options, &schedule);
                print_report(&report);
                reports.lock().expect("no run panicked").push(report);
            });
        }
    });
    let reports = reports.into_inner().expect("no run panicked");
    let failed: Vec<&Report> = reports.iter().filter(|report| !report.violations.is_empty()).collect();
    let requests: u64 = reports.iter().map(|report| report.requests).sum();
    println!("{} runs, {} failed, {requests} requests", reports.len(), failed.len());
    if arguments.minimize {
        for report in &failed {
            println!("minimized: {}", minimize(&arguments.options, &report.schedule));
        }
    }
    ExitCode::from(u8::from(!failed.is_empty()))
}

fn print_report(report: &Report) {
    let result = if report.violations.is_empty() { "passed" } else { "FAILED" };
    println!("seed {} {result} requests={} served={}", report.seed, report.requests, report.served);
    if !report.violations.is_empty() {
        println!("  {}", report.schedule);
    }
    for violation in report.violations.iter().take(12) {
        println!("  {violation}");
    }
}
