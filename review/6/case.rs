//! Case 6: a second copy of an answer that comes some milliseconds late is taken for the answer to the next request.

#[path = "../rig-2/mod.rs"]
mod rig;
use rig::*;
use std::io::Write;
use std::net::TcpStream;
use std::sync::Arc;
use std::thread;
use std::time::Instant;

/// How late the second copy of an answer is.
const LATE_MS: u64 = 12;
/// One answer in so many has a second copy.
const ONE_IN: u64 = 10;
/// One request in so many finds a box full (of what other proxies sent it) and is turned away.
const FULL_ONE_IN: u64 = 5;
const BOXES: usize = 3;
const CLIENTS: u64 = 24;
const SECONDS: u64 = 60;

struct Box_ {
    name: String,
    record: Record,
    ledger: Ledger,
}

impl Box_ {
    fn serve(&self, mut stream: TcpStream, seed: u64) {
        let mut rng = Rng::new(seed);
        let mut reader = Reader::default();
        while let Ok(Some(request)) = reader.read(&mut stream) {
            let id = request.header("x-correlation-id").unwrap_or("").to_string();
            let answer = if rng.below(FULL_ONE_IN) == 0 {
                self.record.line(&format!("{} turns {id} away", self.name));
                response("503 Service Unavailable", &[("X-Unprocessed", "1")], &format!("full {id}"))
            } else {
                let run = self.ledger.add(&id, self.record.at(), &self.name);
                self.record.line(&format!("{} runs {} {id}, run {run}", self.name, request.class()));
                thread::sleep(ms(22 + rng.below(18)));
                response("200 OK", &[], &format!("{} did {id}", self.name))
            };
            if stream.write_all(&answer).is_err() {
                return;
            }
            let answered = Instant::now();
            self.record.line(&format!("{} answered {id}", self.name));
            if trouble() && rng.below(ONE_IN) == 0 {
                let Ok(mut copy) = stream.try_clone() else { return };
                let (name, record) = (self.name.clone(), self.record.clone());
                thread::spawn(move || {
                    thread::sleep(ms(LATE_MS));
                    let _ = copy.write_all(&answer);
                    let late = answered.elapsed().as_secs_f64() * 1e3;
                    record.line(&format!("{name} wrote its answer to {id} a second time, {late:.1} ms after the first"));
                });
            }
        }
    }
}

fn main() {
    let record = Record::new(&folder());
    let broken = play(&record);
    std::process::exit(if broken { 1 } else { 0 })
}

fn play(record: &Record) -> bool {
    let temp = Temp::new();
    let ledger = Ledger::default();
    let agent = Agent::start();
    let mut entries = Vec::new();
    for number in 0..BOXES {
        let name = format!("s-{number}");
        let own = Arc::new(Box_ { name: name.clone(), record: record.clone(), ledger: ledger.clone() });
        let seeds = Count::default();
        let address = serve(move |stream| own.serve(stream, seeds.add() * 31 + number as u64));
        entries.push(Entry::new(&name, address, 0));
    }
    agent.set(&entries);
    let listen = free_address();
    let text = config("n0", listen, agent.address, &agent.known(), &Figures { proxies: 2, ..Figures::default() });
    let mut proxy = start_proxy(&temp.0, "n0", listen, &text, agent.address);
    await_ready(listen, &mut proxy);

    let until = Instant::now() + ms(SECONDS * 1000);
    let foreign = Count::default();
    let asked = Count::default();
    let served = Count::default();
    let mut threads = Vec::new();
    for number in 0..CLIENTS {
        let (record, foreign, asked, served) = (record.clone(), foreign.clone(), asked.clone(), served.clone());
        threads.push(thread::spawn(move || {
            let mut rng = Rng::new(seed() ^ (number << 48));
            let mut client = Client::new(listen);
            while Instant::now() < until {
                thread::sleep(rng.pause(ms(70)));
                let id = rng.hex();
                let safe = rng.below(2) == 0;
                let (class, time) = if safe { ("lot-view", ms(800)) } else { ("settle", ms(1000)) };
                let ask = Ask { class, id: &id, key: None, safe, time_left: time, patience: time + ms(500), body: "lot=1" };
                record.line(&format!("client {number} asks {class} {id}"));
                asked.add();
                let answer = client.ask(&ask);
                record.line(&format!("client {number} got {answer:?} for {id}"));
                if let Answer::Answered(200, body) = &answer {
                    served.add();
                    if !body.ends_with(&format!("did {id}")) {
                        foreign.add();
                        record.line(&format!("FOREIGN: {id} was served with {body:?}"));
                    }
                }
            }
        }));
    }
    for thread in threads {
        let _ = thread.join();
    }
    thread::sleep(ms(300));
    if proxy.ended().is_some() {
        record.say("the proxy ended by itself");
    }
    let settles = settles(&folder());
    let mut twice = 0;
    for (id, runs) in ledger.all() {
        if runs.len() > 1 && settles.contains(&id) {
            twice += 1;
            record.say(&format!("RUN TWICE: settle {id} {runs:?}"));
        }
    }
    record.say(&format!(
        "asked {}, served {}, answers of another request {}, settles that ran more than once {twice}",
        asked.get(), served.get(), foreign.get()
    ));
    drop(proxy);
    twice > 0
}

/// The ids of the unsafe requests, from the record.
fn settles(folder: &std::path::Path) -> std::collections::BTreeSet<String> {
    let text = std::fs::read_to_string(folder.join("record.txt")).unwrap_or_default();
    text.lines().filter_map(|line| Some(line.split_once("asks settle ")?.1.to_string())).collect()
}
