//! Tests with a mutant whose cuts are ignored: the tally at the write has to show it.

use super::{Cut, Direction, Fault, Link, Links, Peer};
use shaletide_testkit::{Clock, WAIT_LIMIT};
use std::io::{Read, Write};
use std::net::{IpAddr, Ipv4Addr, TcpListener, TcpStream, UdpSocket};

const HERE: IpAddr = IpAddr::V4(Ipv4Addr::LOCALHOST);

fn links() -> Links {
    Links::start(Clock::start(), 1).unwrap()
}

fn udp() -> UdpSocket {
    let socket = UdpSocket::bind((HERE, 0)).unwrap();
    socket.set_read_timeout(Some(WAIT_LIMIT)).unwrap();
    socket
}

fn make_leaky(link: &Link) {
    link.shared.core.lines()[0].leaky = true;
    link.set(Direction::Both, Fault::cut(Cut::Silent)).unwrap();
}

#[test]
fn a_leak_of_a_stream_is_found_with_its_link_direction_and_bytes() {
    let links = links();
    let listener = TcpListener::bind((HERE, 0)).unwrap();
    let target = listener.local_addr().unwrap();
    let link = links.tcp("web", ["a", "b"], HERE, target).unwrap();
    let tight = links.tcp("tight", ["a", "b"], HERE, target).unwrap();
    tight.set(Direction::Both, Fault::cut(Cut::Silent)).unwrap();
    let mut client = TcpStream::connect(link.address()).unwrap();
    let (mut server, _) = listener.accept().unwrap();
    client.write_all(b"before").unwrap();
    server.read_exact(&mut [0; 6]).unwrap();
    assert_eq!(links.leaks(), []);
    make_leaky(&link);
    client.write_all(b"leaked").unwrap();
    server.read_exact(&mut [0; 6]).unwrap();
    link.set(Direction::Both, Fault::default()).unwrap();
    assert_eq!(links.leaks(), [("web".to_owned(), Direction::Forth, 6)]);
}

#[test]
fn a_leak_of_datagrams_is_found_on_a_link_and_in_a_mesh() {
    let links = links();
    let sockets = [udp(), udp()];
    let link = links.udp("probe", ["a", "b"], HERE, sockets[1].local_addr().unwrap()).unwrap();
    make_leaky(&link);
    sockets[0].send_to(b"leak", link.address()).unwrap();
    sockets[1].recv(&mut [0; 9]).unwrap();
    let peer = |name: &str, socket: &UdpSocket| Peer {
        name: name.to_owned(),
        listen: HERE,
        real: socket.local_addr().unwrap(),
    };
    let mesh = links.mesh("news", &[peer("x", &sockets[0]), peer("y", &sockets[1])]).unwrap();
    mesh.pairs.cores()[0].lines()[1].leaky = true;
    mesh.set("y", "x", Fault::cut(Cut::Silent)).unwrap();
    sockets[1].send_to(b"gossip", mesh.address("x").unwrap()).unwrap();
    sockets[0].recv(&mut [0; 9]).unwrap();
    let found = [("news/x/y".to_owned(), Direction::Back, 6), ("probe".to_owned(), Direction::Forth, 4)];
    assert_eq!(links.leaks(), found);
}
