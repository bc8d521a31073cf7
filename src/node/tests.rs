//! Unit tests of the lines that a failed start prints.

use super::{PrepareError, ServeError};
use crate::frontend::FrontendError;
use crate::model::SettingsError;
use std::io::{Error, ErrorKind};

fn refused() -> Error {
    Error::new(ErrorKind::AddrInUse, "in use")
}

#[rstest::rstest]
#[case(ServeError::Poll(refused()), "epoll: in use")]
#[case(ServeError::Signals(refused()), "signals: in use")]
#[case(ServeError::Listen(refused()), "listen: in use")]
#[case(ServeError::FlowExport(refused()), "ipfix: in use")]
#[case(
    ServeError::AdminListen { address: "127.0.0.1:9".parse().expect("an address"), source: refused() },
    "operator: 127.0.0.1:9: in use"
)]
#[case(
    ServeError::LeaseTransport { member: 2, source: refused() },
    "--fleet: members[2].address: in use"
)]
#[case(
    ServeError::Settings(SettingsError { field: "classes", problem: "there must be a request class" }),
    "setting classes: there must be a request class"
)]
#[case(ServeError::Frontend(FrontendError::WrongConfigType), "not this frontend's file")]
fn a_failed_start_names_what_failed(#[case] error: ServeError, #[case] line: &str) {
    assert_eq!(error.to_string(), line);
}

#[test]
fn an_invalid_configuration_is_printed_as_it_is() {
    let error = crate::config::ConfigError::NotSet("NODE_CONFIG");
    let error = PrepareError::from(super::configuration::ConfigurationError::from(error));
    assert_eq!(error.to_string(), "NODE_CONFIG: not set");
}
