//! Case 6: the repeat of a keyed request waits in a cut and arrives when its cell no longer remembers the key.

#[path = "../rig-2/mod.rs"]
mod rig;
use rig::*;
use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// How long the zone is cut off. The page has cuts of 6 s.
const CUT_MS: u64 = 1700;
/// How long a cell drops repeats of a key (BRIEF, class `bid`), and the slack that each time limit has on sockets.
const WINDOW: Duration = Duration::from_millis(1200);
const SLACK: Duration = Duration::from_millis(50);
const CLIENTS: u64 = 40;

/// The keys that the boxes of one cell have received, with the time of the first.
type Cell = Arc<Mutex<BTreeMap<String, Instant>>>;

struct Box_ {
    name: String,
    record: Record,
    ledger: Ledger,
    cell: Cell,
}

impl Box_ {
    fn serve(&self, mut stream: TcpStream, seed: u64) {
        let mut rng = Rng::new(seed);
        let mut reader = Reader::default();
        while let Ok(Some(request)) = reader.read(&mut stream) {
            let id = request.header("x-correlation-id").unwrap_or("").to_string();
            if let Some(key) = request.header("idempotency-key") {
                let now = Instant::now();
                let mut cell = self.cell.lock().unwrap();
                let first = cell.get(key).copied().filter(|first| now - *first < WINDOW + SLACK);
                if let Some(first) = first {
                    drop(cell);
                    let age = (now - first).as_secs_f64();
                    self.record.line(&format!("{} drops the repeat of {id}, {age:.3} s after the first", self.name));
                    thread::sleep(ms(2));
                    if stream.write_all(&response("200 OK", &[], &format!("did {id}"))).is_err() {
                        return;
                    }
                    continue;
                }
                cell.insert(key.to_string(), now);
                drop(cell);
                let run = self.ledger.add(&id, self.record.at(), &self.name);
                self.record.line(&format!("{} runs {} {id}, run {run}", self.name, request.class()));
            }
            // Work of 28 to 51 ms on a core of speed 0.9, and 7 to 14 ms of waiting (BRIEF: `bid`, `old-box`).
            thread::sleep(ms(40 + rng.below(30)));
            if stream.write_all(&response("200 OK", &[], &format!("did {id}"))).is_err() {
                return;
            }
        }
    }
}

/// The link to one box. While it is cut it says nothing: what was written to an open connection waits, as in a network whose
/// ends send again what was lost; new connections do not come up.
fn link(name: String, to: SocketAddr, cut: Flag, record: Record) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|e| cannot_run(&e.to_string()));
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        let mut listener = Some(listener);
        loop {
            if cut.get() {
                listener = None; // refused at once, where a real network would let the time-out pass
                thread::sleep(ms(1));
                continue;
            }
            if listener.is_none() {
                listener = TcpListener::bind(address).ok();
            }
            let Some(open) = &listener else { continue };
            let _ = open.set_nonblocking(true);
            match open.accept() {
                Ok((from, _)) => {
                    let _ = from.set_nonblocking(false);
                    let _ = from.set_nodelay(true);
                    let Ok(on) = TcpStream::connect(to) else { continue };
                    let _ = on.set_nodelay(true);
                    pump(format!("to {name}"), from.try_clone().unwrap(), on.try_clone().unwrap(), cut.clone(), record.clone());
                    pump(format!("from {name}"), on, from, cut.clone(), record.clone());
                }
                Err(_) => thread::sleep(Duration::from_micros(300)),
            }
        }
    });
    address
}

fn pump(way: String, mut from: TcpStream, mut to: TcpStream, cut: Flag, record: Record) {
    thread::spawn(move || {
        let mut chunk = [0; 65536];
        loop {
            let read = from.read(&mut chunk).unwrap_or(0);
            if cut.get() && read > 0 {
                let text = String::from_utf8_lossy(&chunk[..read]).into_owned();
                let id = text.lines().find(|line| line.to_ascii_lowercase().starts_with("x-correlation-id"));
                record.line(&format!("{read} bytes {way} wait in the cut: {} {}", text.lines().next().unwrap_or(""), id.unwrap_or("")));
            }
            while cut.get() {
                thread::sleep(ms(1));
            }
            if read == 0 || to.write_all(&chunk[..read]).is_err() {
                let _ = to.shutdown(Shutdown::Write);
                return;
            }
        }
    });
}

fn main() {
    let record = Record::new(&folder());
    let mut broken = 0;
    for round in 0..8 {
        broken += play(&record, round);
    }
    record.say(&format!("bids that ran twice: {broken}"));
    std::process::exit(if broken > 0 { 1 } else { 0 })
}

fn play(record: &Record, round: u64) -> usize {
    let temp = Temp::new();
    let ledger = Ledger::default();
    let agent = Agent::start();
    let cut = Flag::default();
    let cells: [Cell; 2] = Default::default();
    let mut entries = Vec::new();
    for number in 0..8usize {
        let name = format!("s-{number}");
        let cell = cells[number / 4].clone();
        let own = Arc::new(Box_ { name: name.clone(), record: record.clone(), ledger: ledger.clone(), cell });
        let seeds = Count::default();
        let mut address = serve(move |stream| own.serve(stream, seeds.add() * 31 + number as u64));
        let mut entry = Entry::new(&name, address, 1 + number as u64 / 4);
        entry.kind = "old-box".into();
        if number >= 4 {
            address = link(name.clone(), address, cut.clone(), record.clone());
            entry.address = address;
            entry.zone = "cold-store".into();
        }
        entries.push(entry);
    }
    agent.set(&entries);
    let listen = free_address();
    let text = config("n0", listen, agent.address, &agent.known(), &Figures { cross_zone: 0.0, ..Figures::default() });
    let mut proxy = start_proxy(&temp.0, "n0", listen, &text, agent.address);
    await_ready(listen, &mut proxy);

    let until = Instant::now() + ms(10_500);
    let mut threads = Vec::new();
    for number in 0..CLIENTS {
        let record = record.clone();
        threads.push(thread::spawn(move || {
            let mut rng = Rng::new(seed() ^ (number << 48));
            let mut client = Client::new(listen);
            while Instant::now() < until {
                thread::sleep(rng.pause(ms(90)));
                let id = rng.hex();
                // By the shares of the brief.
                let (class, time) = match rng.below(100) {
                    0..=32 => ("lot-view", ms(800)),
                    33..=62 => ("clock-price", ms(400)),
                    63..=81 => ("bid", ms(2000)),
                    _ => ("settle", ms(1000)),
                };
                let safe = class == "lot-view" || class == "clock-price";
                let key = rng.hex();
                let key = if class == "bid" { Some(key.as_str()) } else { None };
                let ask = Ask { class, id: &id, key, safe, time_left: time, patience: time + ms(500), body: "lot=1" };
                record.line(&format!("client {number} asks {class} {id}"));
                let answer = client.ask(&ask);
                record.line(&format!("client {number} got {answer:?} for {id}"));
            }
        }));
    }
    for at in [3000, 3300] {
        thread::sleep(ms(at));
        record.line(&format!("round {round}: cold-store is cut off"));
        cut.set(trouble());
        thread::sleep(ms(CUT_MS));
        cut.set(false);
        record.line(&format!("round {round}: the cut ends"));
    }
    for thread in threads {
        let _ = thread.join();
    }
    thread::sleep(ms(300));
    let mut twice = 0;
    for (id, runs) in ledger.all() {
        if runs.len() > 1 {
            twice += 1;
            record.say(&format!("RUN TWICE: bid {id} {runs:?}"));
        }
    }
    if proxy.ended().is_some() {
        record.say("the proxy ended by itself");
    }
    twice
}
