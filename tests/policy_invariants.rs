//! The decision logic stays short enough to be read in one go: limits over all files of `src/policy`.

use std::path::{Path, PathBuf};

const MAX_LINES: usize = 630;
const MAX_LINE_WIDTH: usize = 110;

/// All files below `src/policy`, as paths relative to the root of the package.
fn policy_files() -> Vec<String> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let mut folders = vec![PathBuf::from("src/policy")];
    let mut files = Vec::new();
    while let Some(folder) = folders.pop() {
        for entry in std::fs::read_dir(root.join(&folder)).expect("a folder") {
            let entry = entry.expect("an entry");
            let path = folder.join(entry.file_name());
            match entry.file_type().expect("a type").is_dir() {
                true => folders.push(path),
                false => files.push(path.to_str().expect("UTF-8").to_string()),
            }
        }
    }
    files.sort();
    files
}

#[test]
fn the_policy_keeps_its_size_and_width() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let mut lines = 0;
    for file in policy_files() {
        let text = std::fs::read_to_string(root.join(&file)).expect("a text");
        lines += text.lines().filter(|line| !line.trim().is_empty()).count();
        let widest = text.lines().map(|line| line.chars().count()).max();
        assert!(widest <= Some(MAX_LINE_WIDTH), "{file}: {widest:?}");
    }
    assert!((1..=MAX_LINES).contains(&lines), "{lines} lines that are not blank");
}

#[rstest::rstest]
#[case("deploy/balancer.toml")]
#[case("deploy/trace.toml")]
fn the_deploy_file_names_every_policy_file(#[case] deploy: &str) {
    let text = std::fs::read_to_string(Path::new(env!("CARGO_MANIFEST_DIR")).join(deploy)).expect("a text");
    let key = text.lines().find_map(|line| line.strip_prefix("policy = [")).expect("the key policy");
    let list = key.split(']').next().expect("the list");
    let mut named: Vec<String> =
        list.split(',').map(|file| file.trim().trim_matches('"').to_string()).collect();
    named.sort();
    assert_eq!(named, policy_files());
}
