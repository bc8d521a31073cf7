use super::{FrontendFiles, OptionalFrontend};
use crate::frontend::FrontendError;
use std::path::PathBuf;

/// Stand-in frontends whose parsed configuration is the path of the configuration file.
static FIRST: OptionalFrontend = frontend("first");
static SECOND: OptionalFrontend = frontend("second");

const fn frontend(name: &'static str) -> OptionalFrontend {
    OptionalFrontend {
        name,
        read: |path| Ok(Box::new(path.to_path_buf())),
        open: |_, _, _| Err(FrontendError::WrongConfigType),
    }
}

#[test]
fn a_later_path_for_the_same_frontend_replaces_the_earlier_one() {
    let mut files = FrontendFiles::default();
    for (frontend, path) in [(&FIRST, "a"), (&SECOND, "b"), (&FIRST, "c")] {
        files.set(frontend, PathBuf::from(path));
    }
    let parsed = files.read().expect("both are readable");
    let paths = parsed.iter().map(|file| (file.frontend.name, file.config.downcast_ref::<PathBuf>()));
    let expected = [("second", Some(&PathBuf::from("b"))), ("first", Some(&PathBuf::from("c")))];
    assert_eq!(paths.collect::<Vec<_>>(), expected);
}
