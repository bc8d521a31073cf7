use super::{Slab, Token};

fn insert(slab: &mut Slab<&'static str>, value: &'static str) -> Token {
    slab.insert_with(|_| Ok::<_, ()>(value)).expect("insert")
}

#[test]
fn a_token_does_not_refer_to_a_later_value_in_its_slot() {
    let mut slab = Slab::new();
    let first = insert(&mut slab, "first");
    assert_eq!(slab.remove(first), Some("first"));
    let second = insert(&mut slab, "second");
    assert_eq!(first.index(), second.index(), "the slot is reused");
    assert_eq!(slab.get(first), None);
    assert_eq!(slab.get_mut(first), None);
    assert_eq!(slab.remove(first), None);
    assert_eq!((slab.get(second), slab.len()), (Some(&"second"), 1));
}

#[test]
fn a_failed_insertion_leaves_its_slot_vacant() {
    let mut slab: Slab<&str> = Slab::new();
    assert_eq!(slab.insert_with(|_| Err("no descriptor")), Err("no descriptor"));
    assert_eq!((slab.len(), slab.values().count()), (0, 0));
    let token = insert(&mut slab, "value");
    assert_eq!(token.index(), 0, "the slot is used by the next value");
    assert_eq!(slab.iter_mut().map(|(token, value)| (token, *value)).collect::<Vec<_>>(), [(token, "value")]);
}
