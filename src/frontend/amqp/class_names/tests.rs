//! Tests of address resolution and of the users' rights to classes.

use super::{AddressField, ClassNames};
use crate::frontend::amqp::users::{Identity, Rights};
use rstest::rstest;
use sparbank_amqp::condition::{NOT_FOUND, UNAUTHORIZED_ACCESS};

fn classes() -> ClassNames {
    ClassNames::new(vec!["live-readings".to_string(), "station-notes".to_string()])
}

fn user_with_right_to(class: &str) -> Identity {
    let rights = Rights { classes: Some(vec![class.to_string()]), subscriber: None };
    Identity { name: Some("anna".to_string()), rights }
}

#[rstest]
#[case::plain("station-notes")]
#[case::with_a_slash("/station-notes")]
fn an_address_names_the_class_at_its_index(#[case] address: &str) {
    let class = classes().authorize(Some(&Identity::default()), AddressField::To, Some(address));
    assert_eq!(class, Ok(1));
}

#[rstest]
#[case(AddressField::Target, "the target address names no class")]
#[case(AddressField::Source, "the source address names no class")]
#[case(AddressField::To, "`to` names no class")]
fn an_address_that_names_no_class_is_an_error(#[case] field: AddressField, #[case] text: &str) {
    for address in [None, Some("other"), Some("")] {
        let error = classes().authorize(Some(&Identity::default()), field, address).expect_err("no class");
        assert_eq!((error.condition.as_str(), error.description.as_deref()), (NOT_FOUND, Some(text)));
    }
}

#[rstest]
#[case(AddressField::Target, "this user may not attach to this class")]
#[case(AddressField::Source, "this user may not attach to this class")]
#[case(AddressField::To, "this user may not send to this class")]
fn a_user_without_the_right_is_refused(#[case] field: AddressField, #[case] text: &str) {
    let user = user_with_right_to("live-readings");
    assert_eq!(classes().authorize(Some(&user), field, Some("live-readings")), Ok(0));
    for identity in [Some(&user), None] {
        let error = classes().authorize(identity, field, Some("station-notes")).expect_err("no right");
        assert_eq!(
            (error.condition.as_str(), error.description.as_deref()),
            (UNAUTHORIZED_ACCESS, Some(text))
        );
    }
}
