//! Unit tests of the error lines that a failed start prints.

use super::{PrepareError, ServeError};
use crate::frontend::FrontendError;
use crate::model::SettingsError;
use std::io::{Error, ErrorKind};

fn address_in_use() -> Error {
    Error::new(ErrorKind::AddrInUse, "in use")
}

#[rstest::rstest]
#[case(ServeError::Poll(address_in_use()), "epoll: in use")]
#[case(ServeError::Signals(address_in_use()), "signals: in use")]
#[case(ServeError::Listen(address_in_use()), "listen: in use")]
#[case(ServeError::FlowExport(address_in_use()), "ipfix: in use")]
#[case(
    ServeError::AdminListen { address: "127.0.0.1:9".parse().expect("an address"), source: address_in_use() },
    "operator: 127.0.0.1:9: in use"
)]
#[case(
    ServeError::LeaseTransport { member: 2, source: address_in_use() },
    "--fleet: members[2].address: in use"
)]
#[case(
    ServeError::Settings(SettingsError { field: "classes", problem: "there must be a request class" }),
    "setting classes: there must be a request class"
)]
#[case(ServeError::Frontend(FrontendError::WrongConfigType), "configuration belongs to another frontend")]
fn a_start_error_names_what_failed(#[case] error: ServeError, #[case] line: &str) {
    assert_eq!(error.to_string(), line);
}

#[test]
fn a_configuration_error_is_printed_unchanged() {
    let error = crate::config::ConfigError::NotSet("NODE_CONFIG");
    let error = PrepareError::from(super::configuration::ConfigurationError::from(error));
    assert_eq!(error.to_string(), "NODE_CONFIG: not set");
}
