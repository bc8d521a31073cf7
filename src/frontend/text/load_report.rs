//! Parsing of the load reports that servers send.
//!
//! A report consists of `name=value` pairs separated by commas. The answer to a health check contains one, as in
//! `PONG avg_ms=12.5,rps=40,active=3,x0=0.8`. `BYE`, `ERR` and `BUSY` may end with one if the settings say that
//! answers carry reports.

/// The maximum number of values in a report. The settings name at most four, and a server may add further ones.
pub(super) const MAX_REPORT_VALUES: usize = 16;
/// The name of the value with a server's utilization: offered load divided by capacity.
pub(super) const UTILIZATION: &str = "x0";

/// A named value of a load report.
#[derive(Clone, Debug, PartialEq)]
struct ReportValue {
    name: String,
    value: f64,
}

/// A parsed load report.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct LoadReport {
    values: Vec<ReportValue>,
}

/// Why a load report, or the answer to a health check, cannot be parsed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub(super) enum LoadReportError {
    /// The answer to a health check is not `PONG`, `ERR` or `NO`.
    #[error("not PONG, ERR or NO")]
    NotAnAnswer,
    /// A pair has no `=` or no name.
    #[error("pair is not of the form name=value")]
    NotAPair,
    /// The value with this name is not a finite number.
    #[error("value of {0} is not a finite number")]
    NotANumber(String),
    /// The report has more than [`MAX_REPORT_VALUES`] values.
    #[error("more than {MAX_REPORT_VALUES} values")]
    TooManyValues,
}

impl LoadReport {
    /// Parses a report. An empty string is an empty report.
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

    /// Parses the report that may follow `word` (`BYE`, `ERR` or `BUSY`) in an answer. Returns `None` if there is none.
    pub(super) fn parse_trailing(line: &str, word: &str) -> Option<Result<LoadReport, LoadReportError>> {
        let report = line.trim_end().strip_prefix(word)?.strip_prefix(' ')?;
        Some(LoadReport::parse(report))
    }

    /// Parses the answer to a health check. Returns `None` if the server answered `ERR` or `NO`.
    pub(super) fn parse_health_check_answer(line: &str) -> Result<Option<LoadReport>, LoadReportError> {
        let line = line.trim_end();
        let (word, report) = line.split_once(' ').unwrap_or((line, ""));
        match word {
            "PONG" => LoadReport::parse(report).map(Some),
            "ERR" | "NO" => Ok(None),
            _ => Err(LoadReportError::NotAnAnswer),
        }
    }

    /// Returns the value with this name, if the report contains it.
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
