//! Tests of `listening` that need its private items.

use super::*;
use shaletide_balancer::Micros;
use shaletide_net::{Clock, UpstreamConfig};
use std::sync::{Arc, Mutex};
use tracing::subscriber::DefaultGuard;

/// The limit of every wait in these tests.
const PATIENCE: Duration = Duration::from_secs(10);

fn wait(address: SocketAddr, look_up_holder: LookUpHolder) -> (Wait, mpsc::Receiver<TcpListener>) {
    let second = Micros(1_000_000);
    let network = UpstreamConfig {
        connect_timeout: second,
        idle_timeout: second,
        response_stall_timeout: None,
        max_body: 64,
        max_connections: 1,
    };
    let driver = Driver::new(Clock::new(), network);
    let pending = PendingAddresses::new(1);
    let announcement = Announcement { pending, name: "n".into(), cached_backends: 0, pools: String::new() };
    let (ready, listeners) = mpsc::channel(1);
    let (announcement, holder_lookup) = (Rc::new(announcement), HolderLookup::new(look_up_holder));
    (Wait { address, patience: None, driver, announcement, ready, holder_lookup }, listeners)
}

/// Guards against attempts that wait for the holder lookup, which takes long on a machine with many sockets.
#[tokio::test]
async fn address_is_listened_on_once_free_while_the_holder_lookup_is_pending() {
    let holder = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = holder.local_addr().unwrap();
    let first = listen(address).expect_err("the address is held");
    let lookups = Rc::new(std::cell::Cell::new(0));
    let lookup_count = lookups.clone();
    let never: LookUpHolder = Box::new(move |_| {
        lookup_count.set(lookup_count.get() + 1);
        Box::pin(std::future::pending())
    });
    let (wait, mut listeners) = wait(address, never);
    let local = tokio::task::LocalSet::new();
    let listener = local.run_until(async move {
        tokio::task::spawn_local(wait.until_listening(first));
        while lookups.get() == 0 {
            tokio::task::yield_now().await;
        }
        drop(holder);
        tokio::time::timeout(PATIENCE, listeners.recv()).await
    });
    let listener = listener.await.expect("it listens while the lookup is pending").expect("a listener");
    assert_eq!(listener.local_addr().unwrap(), address);
}

/// Guards against reading the socket table to share a reserved address: with tens of thousands of sockets that takes over a
/// second.
#[tokio::test]
async fn reserved_address_is_listened_on_without_the_socket_table() {
    let holder = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    holder.set_reuse_port(true).unwrap();
    holder.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).unwrap();
    let address = holder.local_addr().unwrap().as_socket().unwrap();
    let first = listen(address).expect_err("the address is reserved");
    let (wait, mut listeners) = wait(address, Box::new(|_| Box::pin(std::future::pending())));
    let local = tokio::task::LocalSet::new();
    let listener = local.run_until(async move {
        tokio::task::spawn_local(wait.until_listening(first));
        tokio::time::timeout(PATIENCE, listeners.recv()).await
    });
    let listener = listener.await.expect("it shares the address").expect("a listener");
    assert_eq!(listener.local_addr().unwrap(), address);
}

/// The lines that were logged.
#[derive(Clone, Default)]
struct CapturedLog(Arc<Mutex<Vec<u8>>>);

impl std::io::Write for CapturedLog {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        self.0.lock().unwrap().extend(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

impl CapturedLog {
    /// Captures the log of this thread until the guard is dropped.
    fn begin() -> (CapturedLog, DefaultGuard) {
        let log = CapturedLog::default();
        let writer = log.clone();
        let lines = tracing_subscriber::fmt().with_writer(move || writer.clone()).with_ansi(false).finish();
        (log, tracing::subscriber::set_default(lines))
    }

    fn lines_with(&self, text: &str) -> Vec<String> {
        let log = self.0.lock().unwrap();
        String::from_utf8_lossy(&log).lines().filter(|line| line.contains(text)).map(String::from).collect()
    }

    /// Waits for a line that holds this text.
    async fn expect(&self, text: &str) -> String {
        let begun = Instant::now();
        loop {
            if let Some(line) = self.lines_with(text).pop() {
                return line;
            }
            assert!(begun.elapsed() < PATIENCE, "no line contains {text:?}: {:#?}", self.lines_with(""));
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    }
}

/// A lookup that ends when the test lets it end.
#[derive(Default)]
struct GatedLookup {
    begun: Cell<u32>,
    ended: Cell<u32>,
    gate: Notify,
}

impl GatedLookup {
    fn as_lookup(self: &Rc<Self>) -> LookUpHolder {
        let gated = self.clone();
        Box::new(move |_| Box::pin(gated.clone().look_up()))
    }

    async fn look_up(self: Rc<Self>) -> Option<SocketHolders> {
        self.begun.set(self.begun.get() + 1);
        self.gate.notified().await;
        self.ended.set(self.ended.get() + 1);
        Some(SocketHolders::default())
    }

    /// Ends the lookup that is under way, and waits until it has ended.
    async fn end(&self) {
        self.gate.notify_one();
        let begun = Instant::now();
        while self.ended.get() == 0 {
            assert!(begun.elapsed() < PATIENCE, "no lookup ended");
            tokio::task::yield_now().await;
        }
    }
}

const HOLDER_FOUND: &str = "held by a socket that is bound";
const HOLDER_NOT_FOUND: &str = "its holder was not found in 500ms; 1 attempts in ";

/// If reading the socket table exceeds the time that a line waits, the first line lacks the holder, which is logged once found.
#[tokio::test]
async fn holder_found_after_the_timeout_is_logged_later() {
    let holder = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = holder.local_addr().unwrap();
    let first = listen(address).expect_err("the address is held");
    let (log, _guard) = CapturedLog::begin();
    let gated = Rc::new(GatedLookup::default());
    let (wait, _listeners) = wait(address, gated.as_lookup());
    let scenario = async {
        tokio::task::spawn_local(wait.until_listening(first));
        log.expect(HOLDER_NOT_FOUND).await;
        // Further lines follow meanwhile, and start no second lookup.
        log.expect(" attempts in 1.").await;
        assert_eq!((gated.begun.get(), log.lines_with(HOLDER_FOUND).len()), (1, 0));
        gated.gate.notify_one();
        log.expect(HOLDER_FOUND).await
    };
    let line = tokio::task::LocalSet::new().run_until(scenario).await;
    assert!(line.contains(&format!("cannot listen on {address}: bind: Address already in use")), "{line}");
    assert!(line.contains("; 1 attempts in "), "{line}");
    assert_eq!(gated.begun.get(), 1);
}

/// Guards against naming this program as the holder: a lookup that ends later would find its own socket.
#[tokio::test]
async fn holder_found_after_the_address_is_listened_on_is_not_logged() {
    let holder = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = holder.local_addr().unwrap();
    let first = listen(address).expect_err("the address is held");
    let (log, _guard) = CapturedLog::begin();
    let gated = Rc::new(GatedLookup::default());
    let (wait, mut listeners) = wait(address, gated.as_lookup());
    let scenario = async {
        tokio::task::spawn_local(wait.until_listening(first));
        log.expect(HOLDER_NOT_FOUND).await;
        drop(holder);
        listeners.recv().await.expect("a listener");
        gated.end().await;
    };
    tokio::task::LocalSet::new().run_until(scenario).await;
    assert_eq!(log.lines_with(HOLDER_FOUND), Vec::<String>::new());
}

/// Guards against lookups that load the machine: one runs at a time, and they take at most a twentieth of the time.
#[tokio::test]
async fn lookup_does_not_begin_during_another_or_within_twenty_times_its_length() {
    let day = Duration::from_secs(86_400);
    let gated = Rc::new(GatedLookup::default());
    let lookup = HolderLookup::new(gated.as_lookup());
    let address = SocketAddr::from(([127, 0, 0, 1], 1));
    let scenario = async {
        let begun = Instant::now();
        assert!(lookup.is_due(begun));
        lookup.begin(InUseLine { address, cause: String::new(), attempts: String::new() });
        tokio::time::sleep(HOLDER_LOOKUP_TIMEOUT + Duration::from_millis(50)).await;
        assert!(!lookup.is_due(Instant::now() + day), "one is under way");
        let least = begun.elapsed();
        gated.end().await;
        assert!(!lookup.is_due(begun + least * HOLDER_LOOKUP_DUTY_DIVISOR));
        assert!(lookup.is_due(Instant::now() + day));
    };
    tokio::task::LocalSet::new().run_until(scenario).await;
}
