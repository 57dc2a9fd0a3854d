use super::*;

#[test]
fn name_keeps_its_id_after_the_interner_is_full() {
    let mut interner = Interner::new(&["a".into(), "b".into(), "a".into()]);
    assert_eq!((interner.intern("b"), interner.intern("c"), interner.intern("a")), (1, 2, 0));
    (0..MAX_NUMBERED).for_each(|n| {
        interner.intern(&format!("n{n}"));
    });
    let (late, later) = (interner.intern("late"), interner.intern("later"));
    assert!(late != later && late.min(later) >= 1 << 31);
    assert_eq!(
        (interner.intern("late"), interner.by_name.len(), interner.intern("c")),
        (late, MAX_NUMBERED, 2)
    );
}
