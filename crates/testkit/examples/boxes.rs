//! Runs stand-in backends on the given ports, to try the program by hand. `/read/greeting` is answered with `hello`, any
//! other path with 404. Runs until it is ended by a signal: `cargo run -p shaletide-testkit --example boxes -- 9001 9002`.

use std::io::{BufRead, BufReader, Write};
use std::net::{TcpListener, TcpStream};

fn serve(mut stream: TcpStream) -> std::io::Result<()> {
    let mut lines = BufReader::new(stream.try_clone()?).lines();
    while let Some(request_line) = lines.next().transpose()? {
        // Skips the rest of the head. The requests have no body.
        while lines.next().transpose()?.is_some_and(|line| !line.is_empty()) {}
        let found = request_line.split(' ').nth(1) == Some("/read/greeting");
        let (status, body) = if found { ("200 OK", "hello\n") } else { ("404 Not Found", "not here\n") };
        write!(stream, "HTTP/1.1 {status}\r\nContent-Length: {}\r\n\r\n{body}", body.len())?;
    }
    Ok(())
}

fn main() -> std::io::Result<()> {
    let ports = std::env::args().skip(1).filter_map(|port| port.parse::<u16>().ok());
    let listeners =
        ports.map(|port| TcpListener::bind(("127.0.0.1", port))).collect::<Result<Vec<_>, _>>()?;
    let threads: Vec<_> = listeners
        .into_iter()
        .map(|listener| {
            std::thread::spawn(move || {
                for stream in listener.incoming().flatten() {
                    std::thread::spawn(move || serve(stream));
                }
            })
        })
        .collect();
    threads.into_iter().for_each(|thread| drop(thread.join()));
    Ok(())
}
