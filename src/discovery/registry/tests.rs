//! Unit tests of the endpoint registry.

use super::*;

/// The time of the node's clock, later than the server start times in these tests.
const NOW: MonotonicTime = MonotonicTime::from_nanos(u64::MAX / 4);
/// The time of the wall clock, with no offset from the node's clock.
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
    serde_json::from_str(&text).expect("valid endpoint list")
}

/// A list that arrives after a newer one must not mark stopped servers as ready or remove known ones. Endpoints that are
/// not known yet and endpoints that stop accepting connections are still applied.
#[test]
fn a_stale_list_neither_reactivates_nor_removes_endpoints() {
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
    assert_eq!(servers, [ServerId(3)], "only the endpoint that was not known");
    let is_ready =
        |name| registry.id_of(name).and_then(|id| registry.entry(id)).is_some_and(RegistryEntry::is_ready);
    assert_eq!(["a", "b", "c", "d"].map(is_ready), [false, false, true, true]);
    assert_eq!((registry.generation, registry.stale_lists), (7, 1));
    let stops = registry.apply(&list(6, false, &[("d", "draining", 0)]), ListScope::Changes);
    assert_eq!(stops.len(), 1, "a stop is applied from any generation");
    // A later process of a removed endpoint is applied, too.
    assert_eq!(registry.apply(&list(6, false, &[("b", "ready", 11)]), ListScope::Changes).len(), 1);
}

/// The first complete list from a new source sets the generation, even to a lower one. It must not mark stopped
/// servers as ready if it is older than the last list from the previous source.
#[test]
fn a_new_source_resets_the_generation_and_does_not_reactivate_endpoints() {
    let mut registry = EndpointRegistry::new(Vec::new(), NOW, WALL_NOW);
    registry.apply(&list(5, true, &[("a", "ready", 0), ("b", "draining", 0)]), ListScope::Complete);
    registry.prepare_for_new_source();
    assert_eq!(registry.generation(), 0);
    let changed =
        registry.apply(&list(2, true, &[("a", "ready", 0), ("b", "ready", 0)]), ListScope::Complete);
    assert_eq!(changed.iter().map(|endpoint| endpoint.server).collect::<Vec<_>>(), [ServerId(0)]);
    assert_eq!((registry.generation(), registry.stale_lists), (2, 1));
    // Further lists are only compared with those of the new source.
    assert_eq!(registry.apply(&list(3, false, &[("b", "ready", 0)]), ListScope::Changes).len(), 1);
    assert_eq!(registry.stale_lists, 1);
}

/// Guards the handover from a process of version 00677b7, which wrote this list into its handover state.
#[test]
fn a_list_of_version_00677b7_is_read_and_written_unchanged() {
    const SNAPSHOT: &str = include_str!("../fixtures/list-00677b7.json");
    let document: EndpointListDocument = serde_json::from_str(SNAPSHOT).expect("valid endpoint list");
    let mut registry = EndpointRegistry::new(Vec::new(), NOW, WALL_NOW);
    let Event::EndpointList(kind, endpoints) = registry.restore(&document) else {
        panic!("expected an endpoint list event")
    };
    assert_eq!((kind, endpoints.len()), (ListKind::Saved, 3));
    assert_eq!(serde_json::to_string(&registry.snapshot()).expect("serializable"), SNAPSHOT.trim_end());
}

/// Guards a long-running node against a registry that grows with each server that was ever listed. Within the
/// retention a removed endpoint is remembered, so that a stale list does not mark it as ready.
#[test]
fn a_removed_endpoint_is_forgotten_after_its_retention_and_its_id_is_reused() {
    let mut registry = EndpointRegistry::new(Vec::new(), NOW, WALL_NOW);
    registry.apply(&list(5, true, &[("a", "ready", 0), ("b", "ready", 0)]), ListScope::Complete);
    registry.apply(&list(6, false, &[("a", "gone", 0)]), ListScope::Changes);
    registry.observe_clocks(NOW + REMOVED_RETENTION, WALL_NOW);
    assert_eq!(registry.forgettable(), []);
    assert!(registry.apply(&list(5, false, &[("a", "ready", 0)]), ListScope::Changes).is_empty());
    registry.observe_clocks(NOW + REMOVED_RETENTION + Duration::from_secs(1), WALL_NOW);
    assert_eq!(registry.forgettable(), [ServerId(0)]);
    registry.forget(&[ServerId(0)]);
    assert!(registry.entry(ServerId(0)).is_none() && registry.id_of("a").is_none());
    assert_eq!((registry.known_count(), registry.snapshot().endpoints.len()), (1, 1));
    let added = registry.apply(&list(7, false, &[("c", "ready", 0), ("d", "ready", 0)]), ListScope::Changes);
    let ids: Vec<ServerId> = added.iter().map(|endpoint| endpoint.server).collect();
    assert_eq!(ids, [ServerId(0), ServerId(2)], "the id that has become free, then a new one");
    assert_eq!(registry.entry(ServerId(0)).map(RegistryEntry::name), Some("c"));
}

/// An endpoint that returns within the retention keeps its id, and its removal no longer counts.
#[test]
fn an_endpoint_that_returns_is_not_forgotten() {
    let mut registry = EndpointRegistry::new(Vec::new(), NOW, WALL_NOW);
    registry.apply(&list(5, true, &[("a", "ready", 0)]), ListScope::Complete);
    registry.apply(&list(6, true, &[]), ListScope::Complete);
    registry.apply(&list(7, true, &[("a", "ready", 0)]), ListScope::Complete);
    registry.observe_clocks(NOW + 2 * REMOVED_RETENTION, WALL_NOW);
    assert_eq!(registry.forgettable(), []);
    assert_eq!(registry.id_of("a"), Some(ServerId(0)));
}

#[test]
fn of_very_many_removed_endpoints_the_first_ones_are_forgotten_early() {
    let mut registry = EndpointRegistry::new(Vec::new(), NOW, WALL_NOW);
    let names: Vec<String> = (0..MAX_REMOVED_ENDPOINTS + 2).map(|number| format!("s{number}")).collect();
    let listed: Vec<(&str, &str, u64)> = names.iter().map(|name| (name.as_str(), "ready", 0)).collect();
    registry.apply(&list(1, true, &listed), ListScope::Complete);
    registry.apply(&list(2, false, &[("s9", "gone", 0)]), ListScope::Changes);
    registry.observe_clocks(NOW + Duration::from_secs(1), WALL_NOW);
    registry.apply(&list(3, true, &[]), ListScope::Complete);
    assert_eq!(registry.forgettable(), [ServerId(9), ServerId(0)]);
}
