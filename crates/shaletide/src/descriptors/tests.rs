//! Tests of the division for configurations of every size.

use super::*;
use shaletide_config::operator::read;

fn setup(listeners: usize, discoveries: usize, more: &str) -> Setup {
    let listener = |n: usize| format!("[[listener]]\naddress = \"127.0.0.1:{}\"\n", 9_000 + n);
    let pool = |n: usize| format!("[[pool]]\nname = \"p{n}\"\ndiscovery = \"127.0.0.1:{}\"\n", 8_000 + n);
    let text = (0..listeners).map(listener).collect::<String>()
        + "[[class]]\nname = \"a\"\n[[pool]]\nname = \"fixed\"\nboxes = [\"127.0.0.1:1\"]\n"
        + &(0..discoveries).map(pool).collect::<String>()
        + more;
    Setup::from_file(read("f", &text).unwrap_or_else(|report| panic!("{report}")), String::new())
}

const ALL: &str = "[control]\nsocket = \"/tmp/c.sock\"\n[record]\npath = \"/tmp/r.db\"\n";

#[test]
fn platform_process_keeps_64_descriptors_in_reserve() {
    for (limit, clients, upstreams) in [(64, 1, 1), (80, 8, 8), (256, 96, 96), (1_024, 480, 480)] {
        let divided = Descriptors::new(limit, &setup(1, 1, ""));
        assert_eq!((divided.clients, divided.upstreams), (clients, upstreams), "{limit}");
    }
}

#[test]
fn reserve_has_a_descriptor_for_each_listener_and_discovery() {
    for limit in [256, 1_024, 1_000_000] {
        for (listeners, discoveries) in [(1, 0), (1, 1), (64, 1), (1, 63), (64, 63)] {
            for more in ["", ALL] {
                let divided = Descriptors::new(limit, &setup(listeners, discoveries, more));
                let taken = divided.clients + MAX_EXTRA_CLIENT_DESCRIPTORS + divided.upstreams;
                let in_use = 10 + listeners + 2 * discoveries; // standard streams, event loop, signals
                assert!(limit - taken >= in_use, "{divided:?} {listeners} {discoveries} {more:?}");
                assert!(divided.clients >= 1 && divided.upstreams >= 1);
            }
        }
    }
}

#[test]
fn discoveries_added_by_reload_reduce_upstream_connections() {
    let before = Descriptors::new(256, &setup(1, 1, ""));
    let after = before.reconfigured(&setup(1, 41, ""));
    assert_eq!((after.clients, after.upstreams), (before.clients, before.upstreams - 80));
    assert_eq!(after.reconfigured(&setup(1, 1, "")), before);
}
