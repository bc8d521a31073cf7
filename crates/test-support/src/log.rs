//! The lines of a node's log: a level, a message, and fields as `name=value`.

/// The levels of log lines, as they are printed.
const LOG_LEVELS: [&str; 5] = ["ERROR ", " WARN ", " INFO ", "DEBUG ", "TRACE "];

/// Whether a log line's text after the level begins with this message.
pub fn is_log_of(line: &str, message: &str) -> bool {
    LOG_LEVELS.iter().any(|level| line.strip_prefix(level).is_some_and(|text| text.starts_with(message)))
}

/// The value of a field of a log line.
///
/// # Panics
/// The line has no such field.
pub fn log_field<'a>(line: &'a str, name: &str) -> &'a str {
    let value = line.split(' ').find_map(|word| word.strip_prefix(name)?.strip_prefix('='));
    value.unwrap_or_else(|| panic!("{name} is not in {line}"))
}

/// The value of a counter in a line of counters.
///
/// # Panics
/// The line has no such counter.
pub fn counter_value(line: &str, name: &str) -> u64 {
    log_field(line, name).parse().unwrap_or_else(|error| panic!("{name} in {line}: {error}"))
}

/// The values of several counters in a line of counters.
///
/// # Panics
/// The line lacks one of them.
pub fn counter_values<const COUNT: usize>(line: &str, names: [&str; COUNT]) -> [u64; COUNT] {
    names.map(|name| counter_value(line, name))
}
