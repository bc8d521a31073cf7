//! Parsing of a node's log lines, each of which has a level, a message, and fields as `name=value`.

/// Log levels, as they are printed at the start of a line.
const LOG_LEVELS: [&str; 5] = ["ERROR ", " WARN ", " INFO ", "DEBUG ", "TRACE "];

/// Whether a log line's text after the level begins with this message.
pub fn is_log_of(line: &str, message: &str) -> bool {
    LOG_LEVELS.iter().any(|level| line.strip_prefix(level).is_some_and(|text| text.starts_with(message)))
}

/// Returns the value of a field in a log line.
///
/// # Panics
/// The line has no such field.
pub fn log_field<'a>(line: &'a str, name: &str) -> &'a str {
    let value = line.split(' ').find_map(|word| word.strip_prefix(name)?.strip_prefix('='));
    value.unwrap_or_else(|| panic!("no field {name} in log line: {line}"))
}

/// Returns the value of a counter in a `counters` line.
///
/// # Panics
/// The line has no such counter, or its value is not a number.
pub fn counter_value(line: &str, name: &str) -> u64 {
    log_field(line, name)
        .parse()
        .unwrap_or_else(|error| panic!("invalid counter {name} in log line: {error}: {line}"))
}

/// Returns the values of several counters in a `counters` line.
///
/// # Panics
/// A counter is missing from the line, or its value is not a number.
pub fn counter_values<const COUNT: usize>(line: &str, names: [&str; COUNT]) -> [u64; COUNT] {
    names.map(|name| counter_value(line, name))
}
