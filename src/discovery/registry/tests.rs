//! Unit tests of the endpoint registry.

use super::*;

/// The node's clock, later than any start of a server here.
const NOW: MonotonicTime = MonotonicTime::from_nanos(u64::MAX / 4);
/// The wall clock, which shows the same.
const WALL_NOW: WallTime = WallTime::from_unix_nanos(u64::MAX / 4);

fn list(generation: u64, is_complete: bool, endpoints: &[(&str, &str, u64)]) -> EndpointListDocument {
    let endpoint = |(name, lifecycle, started): &(&str, &str, u64)| {
        let address = "127.0.0.1:1";
        format!(
            r#"{{"instanceId":"{name}","hostPort":"{address}","lifecycle":"{lifecycle}","startedAtMs":{started}}}"#
        )
    };
    let endpoints: Vec<String> = endpoints.iter().map(endpoint).collect();
    let text = format!(
        r#"{{"generation":{generation},"reset":{is_complete},"instances":[{}]}}"#,
        endpoints.join(",")
    );
    serde_json::from_str(&text).expect("a list")
}

/// A list from before the last ones revives nothing and removes nothing; what is new in it is taken, and so is what
/// it stops.
#[test]
fn a_stale_list_revives_nothing_and_removes_nothing() {
    let mut registry = EndpointRegistry::new(Vec::new(), NOW, WALL_NOW);
    registry.apply(
        &list(5, true, &[("a", "ready", 0), ("b", "ready", 0), ("c", "ready", 9)]),
        ListScope::Complete,
    );
    registry.apply(&list(6, false, &[("a", "draining", 0)]), ListScope::Changes);
    registry.apply(&list(7, false, &[("b", "gone", 0), ("c", "ready", 10)]), ListScope::Changes);
    let old = list(5, true, &[("a", "ready", 0), ("b", "ready", 0), ("c", "ready", 9), ("d", "ready", 0)]);
    let changed = registry.apply(&old, ListScope::Complete);
    let servers: Vec<ServerId> = changed.iter().map(|endpoint| endpoint.server).collect();
    assert_eq!(servers, [ServerId(3)], "only what nobody knew");
    let is_ready =
        |name| registry.id_of(name).and_then(|id| registry.entry(id)).is_some_and(RegistryEntry::is_ready);
    assert_eq!(["a", "b", "c", "d"].map(is_ready), [false, false, true, true]);
    assert_eq!((registry.generation, registry.stale_lists), (7, 1));
    let stops = registry.apply(&list(6, false, &[("d", "draining", 0)]), ListScope::Changes);
    assert_eq!(stops.len(), 1, "what stops is taken from any generation");
    // Its next process is another one.
    assert_eq!(registry.apply(&list(6, false, &[("b", "ready", 11)]), ListScope::Changes).len(), 1);
}

/// The first complete list from another source sets the generation anew; a list older than the previous source's
/// revives nothing.
#[test]
fn another_source_sets_the_generation_anew_and_revives_nothing() {
    let mut registry = EndpointRegistry::new(Vec::new(), NOW, WALL_NOW);
    registry.apply(&list(5, true, &[("a", "ready", 0), ("b", "draining", 0)]), ListScope::Complete);
    registry.expect_other_source();
    assert_eq!(registry.generation(), 0);
    let changed =
        registry.apply(&list(2, true, &[("a", "ready", 0), ("b", "ready", 0)]), ListScope::Complete);
    assert_eq!(changed.iter().map(|endpoint| endpoint.server).collect::<Vec<_>>(), [ServerId(0)]);
    assert_eq!((registry.generation(), registry.stale_lists), (2, 1));
    // The generations of the previous source no longer matter.
    assert_eq!(registry.apply(&list(3, false, &[("b", "ready", 0)]), ListScope::Changes).len(), 1);
    assert_eq!(registry.stale_lists, 1);
}

/// A list of version 00677b7, as that process writes it into its handover state.
#[test]
fn a_list_of_version_00677b7_is_read_and_written_in_the_same_form() {
    const SNAPSHOT: &str = include_str!("../fixtures/list-00677b7.json");
    let document: EndpointListDocument = serde_json::from_str(SNAPSHOT).expect("a list");
    let mut registry = EndpointRegistry::new(Vec::new(), NOW, WALL_NOW);
    let Event::EndpointList(kind, endpoints) = registry.restore(&document) else { panic!("a list") };
    assert_eq!((kind, endpoints.len()), (ListKind::Saved, 3));
    assert_eq!(serde_json::to_string(&registry.snapshot()).expect("JSON"), SNAPSHOT.trim_end());
}
