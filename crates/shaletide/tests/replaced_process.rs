//! Processes that come up at the address of one that has gone: they do not know the keys of its group.

mod harness;

use harness::*;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;

/// Two backends of one deduplication group. Each answers reads, by `read_reply`, and executes votes; the connection breaks after
/// the first vote, and later ones are answered.
struct Group {
    backends: [BackendServer; 2],
    /// Whether requests are votes from now on.
    is_voting: Arc<AtomicBool>,
    votes: Arc<AtomicUsize>,
}

impl Group {
    fn start(read_reply: fn() -> Reply) -> Group {
        let (is_voting, votes) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicUsize::new(0)));
        let start = || {
            let (is_voting, votes) = (is_voting.clone(), votes.clone());
            BackendServer::start(move |_| {
                if !is_voting.load(Ordering::SeqCst) {
                    return read_reply();
                }
                match votes.fetch_add(1, Ordering::SeqCst) {
                    0 => Reply::Reset,
                    _ => ok_reply("voted"),
                }
            })
        };
        let backends = [start(), start()];
        Group { backends, is_voting, votes }
    }

    fn start_proxy(&self) -> Proxy {
        let [a, b] = &self.backends;
        Proxy::start(&[endpoint_json("b0", a.address, "SERVING"), endpoint_json("b1", b.address, "SERVING")])
    }

    /// Sends reads until each backend has had one. What follows are votes.
    fn read_from_both(&self, proxy: &Proxy) {
        for _ in 0..200 {
            assert_eq!(proxy.request(&read_request(3.0)).status(), 200);
            if self.backends.iter().all(|backend| backend.request_count() > 0) {
                self.is_voting.store(true, Ordering::SeqCst);
                return;
            }
        }
        panic!("a backend gets no reads");
    }
}

/// Guards against executing a keyed request twice: its connection broke because the processes of the group were replaced, and a
/// new process at the other address does not discard the repeat. No connection shows that the process there is the old one.
#[test]
fn keyed_request_is_not_repeated_at_a_process_that_may_be_new() {
    let closing = Group::start(|| Reply::AnswerAndClose(200, "read".into()));
    let proxy = closing.start_proxy();
    closing.read_from_both(&proxy);
    assert_eq!(proxy.request(&vote_request(3.0)).status(), 502, "it may have been executed");
    assert_eq!(closing.votes.load(Ordering::SeqCst), 1);
}

/// A connection that has been open since before the first attempt shows that the process has not changed.
#[test]
fn keyed_request_is_repeated_at_a_process_that_is_known() {
    let group = Group::start(|| ok_reply("read"));
    let proxy = group.start_proxy();
    group.read_from_both(&proxy);
    let answer = proxy.request(&vote_request(3.0));
    assert_eq!((answer.status(), answer.body), (200, b"voted".to_vec()));
    assert_eq!(group.votes.load(Ordering::SeqCst), 2);
}
