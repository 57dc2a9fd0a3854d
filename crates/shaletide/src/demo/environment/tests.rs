use super::*;
use shaletide_config::operator::read;

#[test]
fn demo_file_is_valid_and_has_the_clients_classes() {
    let at = |port| SocketAddr::from(([127, 0, 0, 1], port));
    let operator = read("demo.toml", &config(at(1), at(2))).unwrap_or_else(|report| panic!("{report}"));
    let named: Vec<&str> = operator.classes.iter().map(|c| c.name.as_str()).collect();
    let load_classes = classes();
    assert_eq!(named, load_classes.iter().map(|c| c.name.as_str()).collect::<Vec<_>>());
    for (def, class) in operator.balancer.classes.iter().zip(load_classes) {
        assert_eq!(def.idempotency, class.idempotency);
    }
    assert_eq!(operator.balancer.slow_start_window, RAMP);
    assert_eq!(
        (operator.balancer.overload_multiple, operator.balancer.overload_window),
        (PUSH.multiple, PUSH.window)
    );
}
