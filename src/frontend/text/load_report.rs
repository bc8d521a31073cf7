//! Load reports, as servers write them.
//!
//! A report is `name=value` pairs separated by commas. A health check is answered with one, as in
//! `PONG avg_ms=12.5,rps=40,active=3,x0=0.8`; `BYE`, `ERR` and `BUSY` may end with one where the settings say
//! that answers carry reports.

/// A report has at most this many values: the settings name four or fewer, and a server may add some.
pub(super) const MAX_REPORT_VALUES: usize = 16;
/// The report's value of the load offered to a server, divided by its capacity.
pub(super) const UTILIZATION: &str = "x0";

/// A value of a load report, with the name that the server gave it.
#[derive(Clone, Debug, PartialEq)]
struct ReportValue {
    name: String,
    value: f64,
}

/// The values of a load report.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct LoadReport {
    values: Vec<ReportValue>,
}

/// Why a report, or the answer to a health check, cannot be used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub(super) enum LoadReportError {
    /// The answer is none that a health check has: not `PONG`, `ERR` or `NO`.
    #[error("neither PONG, ERR nor NO")]
    NotAnAnswer,
    /// A pair without `=`, or without a name.
    #[error("a pair without a name or '='")]
    NotAPair,
    /// The value of this name is no finite number.
    #[error("{0} is no number")]
    NotANumber(String),
    /// More than [`MAX_REPORT_VALUES`] values.
    #[error("more than {MAX_REPORT_VALUES} values")]
    TooManyValues,
}

impl LoadReport {
    /// Parses a report. An empty text is an empty report.
    pub(super) fn parse(text: &str) -> Result<LoadReport, LoadReportError> {
        let mut values = Vec::new();
        for pair in text.trim().split(',').filter(|pair| !pair.is_empty()) {
            let value = ReportValue::parse(pair)?;
            if values.len() == MAX_REPORT_VALUES {
                return Err(LoadReportError::TooManyValues);
            }
            values.push(value);
        }
        Ok(LoadReport { values })
    }

    /// Parses the report at the end of an answer that may have one (`BYE`, `ERR`, `BUSY`): what follows the word.
    pub(super) fn parse_trailing(line: &str, word: &str) -> Option<Result<LoadReport, LoadReportError>> {
        let report = line.trim_end().strip_prefix(word)?.strip_prefix(' ')?;
        Some(LoadReport::parse(report))
    }

    /// Parses the answer to a health check: its report, or None where the server answered `ERR` or `NO`.
    pub(super) fn parse_health_check_answer(line: &str) -> Result<Option<LoadReport>, LoadReportError> {
        let line = line.trim_end();
        let (word, report) = line.split_once(' ').unwrap_or((line, ""));
        match word {
            "PONG" => LoadReport::parse(report).map(Some),
            "ERR" | "NO" => Ok(None),
            _ => Err(LoadReportError::NotAnAnswer),
        }
    }

    /// The value of this name, where the report has it.
    pub(super) fn get(&self, name: &str) -> Option<f64> {
        self.values.iter().find(|value| value.name == name).map(|value| value.value)
    }
}

impl ReportValue {
    fn parse(pair: &str) -> Result<ReportValue, LoadReportError> {
        let (name, text) = pair.split_once('=').ok_or(LoadReportError::NotAPair)?;
        if name.is_empty() {
            return Err(LoadReportError::NotAPair);
        }
        match text.parse::<f64>() {
            Ok(value) if value.is_finite() => Ok(ReportValue { name: name.to_string(), value }),
            _ => Err(LoadReportError::NotANumber(name.to_string())),
        }
    }
}

#[cfg(test)]
mod tests;
