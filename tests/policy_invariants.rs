//! Size limits on the decision logic in `src/policy`, which has to stay short enough to be read as a whole.

use std::path::{Path, PathBuf};

const MAX_LINES: usize = 630;
const MAX_LINE_WIDTH: usize = 110;

/// All files below `src/policy`, as paths relative to the root of the package.
fn policy_files() -> Vec<String> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let mut folders = vec![PathBuf::from("src/policy")];
    let mut files = Vec::new();
    while let Some(folder) = folders.pop() {
        for entry in std::fs::read_dir(root.join(&folder)).expect("a readable folder") {
            let entry = entry.expect("a readable entry");
            let path = folder.join(entry.file_name());
            match entry.file_type().expect("a file type").is_dir() {
                true => folders.push(path),
                false => files.push(path.to_str().expect("UTF-8").to_string()),
            }
        }
    }
    files.sort();
    files
}

#[test]
fn the_policy_stays_within_its_size_and_line_width() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let mut lines = 0;
    for file in policy_files() {
        let text = std::fs::read_to_string(root.join(&file)).expect("a readable file");
        lines += text.lines().filter(|line| !line.trim().is_empty()).count();
        let widest = text.lines().map(|line| line.chars().count()).max();
        assert!(widest <= Some(MAX_LINE_WIDTH), "{file}: a line of {widest:?} characters");
    }
    assert!((1..=MAX_LINES).contains(&lines), "{lines} non-blank lines");
}

#[rstest::rstest]
#[case("deploy/balancer.toml")]
#[case("deploy/trace.toml")]
fn the_deploy_file_lists_every_policy_file(#[case] deploy: &str) {
    let text =
        std::fs::read_to_string(Path::new(env!("CARGO_MANIFEST_DIR")).join(deploy)).expect("a readable file");
    let key = text.lines().find_map(|line| line.strip_prefix("policy = [")).expect("the key `policy`");
    let value = key.split(']').next().expect("a list");
    let mut listed: Vec<String> =
        value.split(',').map(|file| file.trim().trim_matches('"').to_string()).collect();
    listed.sort();
    assert_eq!(listed, policy_files());
}
