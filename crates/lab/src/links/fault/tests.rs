//! Tests of `fault` that need its private items.

use super::*;

#[test]
fn a_value_out_of_range_is_named() {
    let clean = Fault::default();
    assert_eq!(clean.check(), Ok(()));
    let wrong = Fault { reorder: 1.5, ..clean };
    assert_eq!(wrong.check(), Err(FaultError::Chance { name: "reorder", value: 1.5 }));
    assert!(Fault { loss: f64::NAN, ..clean }.check().is_err());
    assert_eq!(
        Fault::delay_ms(Distribution::Even(1.0, -2.0)).check(),
        Err(FaultError::Delay { value: -2.0 })
    );
    assert_eq!(Fault { rate: Some(0), ..clean }.check(), Err(FaultError::Rate));
}
