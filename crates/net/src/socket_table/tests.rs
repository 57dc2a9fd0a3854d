use super::*;
use std::net::{TcpListener, TcpStream};
use std::time::Instant;

impl SocketHolders {
    fn has_listener(&self) -> bool {
        self.0.iter().any(|entry| entry.state == TcpState::LISTEN)
    }
}

const TABLE: &str = "  sl  local_address rem_address   st tx_queue rx_queue tr tm->when retrnsmt   uid  timeout inode
   0: 0100007F:20FB 00000000:0000 0A 00000000:00000000 00:00000000 00000000  1000        0 34567 1 0 100 0 0 10 0
   1: 00000000:20FB 00000000:0000 0A 00000000:00000000 00:00000000 00000000     0        0 34568 1 0 100 0 0 10 0
   2: 0100007F:20FB 0100007F:C350 06 00000000:00000000 03:000000A1 00000000     0        0 0 3 0
   3: 0200007F:20FB 0100007F:C350 01 00000000:00000000 03:000000A1 00000000     0        0 7 3 0
   4: 0100007F:20FC 00000000:0000 0A 00000000:00000000 00:00000000 00000000     0        0 8 1 0 100 0 0 10 0
   5: nonsense
";
const TABLE_6: &str = "  sl  local_address                         remote_address                        st
   0: 00000000000000000000000000000000:20FB 00000000000000000000000000000000:0000 0A 0:0 00:0 0 5 0 21 1 0
   1: 0000000000000000FFFF00000100007F:20FB 0000000000000000FFFF00000100007F:C350 01 0:0 00:0 0 6 0 22 1 0
";

fn at(text: &str) -> SocketAddr {
    text.parse().unwrap()
}

#[test]
fn tables_of_both_address_families_yield_only_sockets_at_the_address() {
    let mut holders = SocketHolders::default();
    holders.add_from(TABLE.as_bytes(), at("127.0.0.1:8443")).unwrap();
    holders.add_from(TABLE_6.as_bytes(), at("127.0.0.1:8443")).unwrap();
    let found: Vec<(String, String, u32, u64)> =
        holders.0.iter().map(|e| (e.local.to_string(), e.state.to_string(), e.user, e.inode)).collect();
    let expected = [
        ("127.0.0.1:8443", "LISTEN", 1000, 34567),
        ("0.0.0.0:8443", "LISTEN", 0, 34568),
        ("127.0.0.1:8443", "TIME_WAIT", 0, 0),
        ("[::]:8443", "LISTEN", 5, 21),
        ("127.0.0.1:8443", "ESTABLISHED", 6, 22),
    ];
    assert_eq!(found, expected.map(|(a, s, u, i)| (a.to_string(), s.to_string(), u, i)));
    assert!(holders.has_listener());
    assert!(holders.to_string().ends_with("; and 2 more"), "{holders}");
}

#[test]
fn own_listener_is_found_with_its_process_and_bound_socket_is_not() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let here = listener.local_addr().unwrap();
    let mut holders = SocketHolders::at_address(here).unwrap();
    // On a busy machine with many processes, the search with the default limit might end before it reaches this process.
    holders.find_processes_within(Duration::from_secs(60));
    let [entry] = &holders.0[..] else { panic!("{holders}") };
    assert_eq!((entry.state, entry.local), (TcpState::LISTEN, here));
    assert_eq!(entry.process.as_ref().map(|process| process.id), Some(std::process::id()), "{holders}");
    assert!(holders.has_listener());

    let client = TcpStream::connect(here).unwrap();
    let accepted = listener.accept().unwrap();
    drop(listener);
    let holders = SocketHolders::at_address(here).unwrap();
    assert!(!holders.has_listener());
    assert!(holders.to_string().contains("in state ESTABLISHED"), "{holders}");
    drop((client, accepted));

    let bound = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    bound.bind(&at("127.0.0.1:0").into()).unwrap();
    let here = bound.local_addr().unwrap().as_socket().unwrap();
    assert_eq!(SocketHolders::at_address(here).unwrap(), SocketHolders::default());
}

/// On a busy machine a thread waits for a processor most of the time. That time must not end the search.
#[test]
fn process_search_is_limited_by_processor_time_of_its_thread() {
    let limit = ProcessorTimeLimit::begin(Duration::from_millis(20));
    std::thread::sleep(Duration::from_millis(60));
    assert!(!limit.is_over(), "waiting counted as processor time");
    let begun = Instant::now();
    while !limit.is_over() {
        assert!(begun.elapsed() < Duration::from_secs(60), "the limit is never reached");
    }
}

#[test]
fn overlong_socket_table_is_an_error() {
    let long = "x\n".repeat(MAX_LINES + 1);
    assert!(SocketHolders::default().add_from(long.as_bytes(), at("127.0.0.1:1")).is_err());
}
