use super::*;

#[test]
fn name_keeps_its_id_after_the_interner_is_full() {
    let mut numbers = Interner::new(&["a".into(), "b".into(), "a".into()]);
    assert_eq!((numbers.intern("b"), numbers.intern("c"), numbers.intern("a")), (1, 2, 0));
    (0..MAX_NUMBERED).for_each(|n| {
        numbers.intern(&format!("n{n}"));
    });
    let (late, later) = (numbers.intern("late"), numbers.intern("later"));
    assert!(late != later && late.min(later) >= 1 << 31);
    assert_eq!((numbers.intern("late"), numbers.by_name.len(), numbers.intern("c")), (late, MAX_NUMBERED, 2));
}
