//! Unit tests of the counters' log line.

use super::Counters;

/// Returns the names of all fields, taken from the derived `Debug` output.
fn field_names(counters: &Counters) -> Vec<String> {
    let debug = format!("{counters:?}");
    let fields = debug.trim_start_matches("Counters { ").trim_end_matches(" }");
    fields.split(", ").map(|field| field.split(": ").next().unwrap_or("").to_string()).collect()
}

#[test]
fn the_log_line_contains_every_counter_once_in_declaration_order() {
    let counters = Counters { requests: 1, unfinished_iterations: 2, ..Counters::default() };
    let line = counters.to_string();
    let names: Vec<&str> = line.split(' ').skip(1).filter_map(|pair| pair.split('=').next()).collect();
    assert_eq!(names, field_names(&counters));
    assert!(line.starts_with("counters requests=1 resumed=0 "));
    assert!(line.ends_with(" unfinished_iterations=2"));
}
