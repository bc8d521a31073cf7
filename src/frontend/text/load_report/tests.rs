use super::{LoadReport, LoadReportError, ReportValue, MAX_REPORT_VALUES};
use proptest::prelude::*;

#[test]
fn answers_documented_by_the_protocol_are_parsed() {
    let answer = LoadReport::parse_health_check_answer;
    let pong = answer("PONG avg_ms=12.5,rps=40,active=3,x0=0.8\r\n").expect("valid").expect("a report");
    assert_eq!((pong.get("x0"), pong.get("avg_ms"), pong.get("queue")), (Some(0.8), Some(12.5), None));
    assert_eq!(answer("PONG"), Ok(Some(LoadReport::default())));
    assert_eq!(answer("ERR"), Ok(None));
    assert_eq!(answer("ERR inflight=7"), Ok(None));
    assert_eq!(answer("NO"), Ok(None));
    assert_eq!(answer("UP r1"), Err(LoadReportError::NotAnAnswer));
    assert_eq!(answer(""), Err(LoadReportError::NotAnAnswer));
    let trailing = LoadReport::parse_trailing;
    let bye = trailing("BYE inflight=7,queue=2,util=0.61", "BYE").expect("a report").expect("valid");
    assert_eq!(bye.get("util"), Some(0.61));
    assert_eq!(trailing("BYE", "BYE"), None);
    assert_eq!(trailing("BYEBYE x=1", "BYE"), None);
}

#[test]
fn malformed_reports_and_reports_with_too_many_values_are_rejected() {
    let report = LoadReport::parse;
    let not_a_pair = Err(LoadReportError::NotAPair);
    assert_eq!([report("x0"), report("=1")], [not_a_pair.clone(), not_a_pair]);
    for bad in ["x0=fast", "x0=NaN", "x0=inf", "x0="] {
        assert_eq!(report(bad), Err(LoadReportError::NotANumber("x0".into())), "{bad}");
    }
    let many: Vec<String> = (0..=MAX_REPORT_VALUES).map(|n| format!("k{n}=1")).collect();
    assert_eq!(report(&many.join(",")), Err(LoadReportError::TooManyValues));
    let longest = report(&many[..MAX_REPORT_VALUES].join(","));
    assert_eq!(longest.map(|report| report.values.len()), Ok(MAX_REPORT_VALUES));
}

proptest! {
    /// Every value of a serialized report is found again after parsing.
    #[test]
    fn parsed_reports_contain_the_written_values(
        written in prop::collection::vec(("[a-z_][a-z0-9_]{0,8}", -1e9f64..1e9), 0..MAX_REPORT_VALUES)
    ) {
        let pairs: Vec<String> = written.iter().map(|(name, value)| format!("{name}={value}")).collect();
        let report = LoadReport::parse(&pairs.join(",")).expect("valid");
        for (name, value) in written {
            let expected = ReportValue { name, value };
            prop_assert!(report.values.contains(&expected));
        }
    }
}
