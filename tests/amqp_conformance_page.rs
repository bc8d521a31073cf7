//! Checks that the tests listed on the AMQP conformance page (`docs/AMQP-CONFORMANCE.md`) exist.

use rstest::rstest;

#[rstest]
fn every_test_that_the_page_names_exists() {
    let root = env!("CARGO_MANIFEST_DIR");
    let page = std::fs::read_to_string(format!("{root}/docs/AMQP-CONFORMANCE.md")).expect("the page");
    let mut sources = String::new();
    for folder in ["tests", "crates/amqp/tests", "crates/amqp/src"] {
        for entry in std::fs::read_dir(format!("{root}/{folder}")).expect("a folder") {
            let path = entry.expect("an entry").path();
            if path.extension().is_some_and(|e| e == "rs") {
                sources += &std::fs::read_to_string(path).expect("a file");
            }
        }
    }
    let mut rows = 0;
    for line in page.lines().filter(|line| line.starts_with("| ") && !line.starts_with("| §")) {
        let last = line.trim_end_matches(" |").rsplit("| ").next().expect("a column");
        for name in last.split(", ").filter_map(|name| name.strip_prefix('`')?.strip_suffix('`')) {
            assert!(sources.contains(&format!("fn {name}(")), "{name}: no such test function");
            rows += 1;
        }
    }
    assert!(rows > 40, "the page names only {rows} tests");
}
