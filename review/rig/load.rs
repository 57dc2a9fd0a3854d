//! Clients of the deployment `milford-auction`: connections that are kept, one request at a time on each, and the four
//! classes in their shares.

use super::rig::{request_text, Connection, Response, Rng};
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

/// A request of a class, with a new id and, for a keyed class, a new key.
pub struct Ask {
    pub class: &'static str,
    pub id: String,
    pub text: String,
    pub time_left_s: f64,
}

/// A request of a class drawn by the shares of the brief, 4.
pub fn draw(rng: &mut Rng) -> Ask {
    let class = match rng.unit() {
        x if x < 0.33 => "lot-view",
        x if x < 0.63 => "clock-price",
        x if x < 0.82 => "bid",
        _ => "settle",
    };
    of_class(class, rng)
}

pub fn of_class(class: &'static str, rng: &mut Rng) -> Ask {
    let id = rng.hex();
    let key = format!("{}{}", rng.hex(), rng.hex());
    let (method, key, time_left_s, body) = match class {
        "lot-view" => ("GET", None, 0.8, ""),
        "clock-price" => ("GET", None, 0.4, ""),
        "bid" => ("POST", Some(key.as_str()), 2.0, "lot=17&bid=250"),
        _ => ("POST", None, 1.0, "lot=17&buyer=204"),
    };
    let text = request_text(method, class, &id, key, time_left_s, body);
    Ask { class, id, text, time_left_s }
}

/// A client's connection to its proxy, opened anew where it has ended.
pub struct Client {
    to: SocketAddr,
    kept: Option<Connection>,
}

impl Client {
    pub fn new(to: SocketAddr) -> Client {
        Client { to, kept: None }
    }

    /// Sends a request and waits for its answer, up to half a second longer than its time. If the proxy has closed the kept
    /// connection between two requests, the request goes out once more on a new one, as the protocol says.
    pub fn ask(&mut self, ask: &Ask) -> io::Result<Response> {
        if let Some(mut kept) = self.kept.take() {
            let answer = exchange(&mut kept, ask);
            let crossed = answer.as_ref().is_err_and(|error| {
                use io::ErrorKind::*;
                matches!(error.kind(), UnexpectedEof | ConnectionReset | BrokenPipe)
            });
            if !crossed {
                return self.keep(kept, answer);
            }
        }
        let mut new = Connection::open(self.to)?;
        let answer = exchange(&mut new, ask);
        self.keep(new, answer)
    }

    fn keep(&mut self, connection: Connection, answer: io::Result<Response>) -> io::Result<Response> {
        if answer.as_ref().is_ok_and(|answer| !answer.closes()) {
            self.kept = Some(connection);
        }
        answer
    }
}

fn exchange(connection: &mut Connection, ask: &Ask) -> io::Result<Response> {
    let patience = Duration::from_secs_f64(ask.time_left_s + 0.5);
    connection.stream.set_read_timeout(Some(patience))?;
    connection.write(ask.text.as_bytes())?;
    connection.read_response()
}
