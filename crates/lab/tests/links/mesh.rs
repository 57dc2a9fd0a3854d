//! The mesh, and faults between names and groups.

use super::{links, listener, udp, until, HERE};
use shaletide_lab::links::{Cut, Direction, Fault, FaultError, Links, Mesh, Peer, MAX_PEERS};
use std::net::{SocketAddr, UdpSocket};

struct World {
    links: Links,
    mesh: Mesh,
    sockets: Vec<UdpSocket>,
}

const NAMES: [&str; 4] = ["p0", "p1", "p2", "p3"];

fn world() -> World {
    let links = links();
    let sockets: Vec<UdpSocket> = NAMES.iter().map(|_| udp().0).collect();
    let peer = |(name, socket): (&&str, &UdpSocket)| Peer {
        name: (*name).to_owned(),
        listen: HERE,
        real: socket.local_addr().unwrap(),
    };
    let peers: Vec<Peer> = NAMES.iter().zip(&sockets).map(peer).collect();
    let mesh = links.mesh("news", &peers).unwrap();
    World { links, mesh, sockets }
}

impl World {
    fn address(&self, peer: usize) -> SocketAddr {
        self.mesh.address(NAMES[peer]).unwrap()
    }

    /// Each peer sends to each other one; which ordered pairs it went through for.
    fn passing(&self) -> Vec<(usize, usize)> {
        let pairs = (0..4).flat_map(|from| (0..4).map(move |to| (from, to))).filter(|(from, to)| from != to);
        let mut passed = Vec::new();
        for (from, to) in pairs {
            let came = |world: &World| world.mesh.stats(NAMES[from], NAMES[to]).unwrap();
            let before = came(self);
            self.sockets[from].send_to(&[from as u8], self.address(to)).unwrap();
            until("it came", || came(self).came > before.came && came(self).held == 0);
            if came(self).passed == before.passed {
                continue;
            }
            let mut buffer = [0; 9];
            let (count, sender) = self.sockets[to].recv_from(&mut buffer).unwrap();
            assert_eq!((&buffer[..count], sender), (&[from as u8][..], self.address(from)));
            passed.push((from, to));
        }
        passed
    }
}

#[test]
fn a_receiver_tells_the_sender_by_the_address_that_stands_for_it_and_replies_lead_back() {
    let world = world();
    assert_eq!(world.passing().len(), 12);
    world.sockets[0].send_to(b"ping", world.address(2)).unwrap();
    let mut buffer = [0; 9];
    let (_, sender) = world.sockets[2].recv_from(&mut buffer).unwrap();
    world.sockets[2].send_to(b"pong", sender).unwrap();
    let (count, from) = world.sockets[0].recv_from(&mut buffer).unwrap();
    assert_eq!((&buffer[..count], from), (&b"pong"[..], world.address(2)));
}

#[test]
fn each_ordered_pair_has_its_own_faults() {
    let world = world();
    assert_eq!(world.mesh.set("p1", "p3", Fault::cut(Cut::Silent)), Ok(true));
    assert_eq!(world.mesh.set("p1", "p1", Fault::default()), Ok(false));
    assert_eq!(world.mesh.set("p1", "nobody", Fault::default()), Ok(false));
    let passing = world.passing();
    assert!(passing.len() == 11 && !passing.contains(&(1, 3)), "{passing:?}");
    let cut = world.mesh.stats("p1", "p3").unwrap();
    assert_eq!((cut.dropped_by_cut, cut.passed, cut.passed_bytes_while_cut), (1, 0, 0));
    assert_eq!(world.mesh.set("p1", "p3", Fault::default()), Ok(true));
    assert_eq!(world.passing().len(), 12);
}

#[test]
fn a_stranger_is_dropped_and_a_peer_that_moved_is_followed() {
    let mut world = world();
    let (stranger, moved) = udp();
    stranger.send_to(b"?", world.address(0)).unwrap();
    until("dropped", || world.mesh.strangers() == 1);
    assert!(world.mesh.aim("p1", moved) && !world.mesh.aim("nobody", moved));
    world.sockets[1] = stranger;
    assert_eq!(world.passing().len(), 12);
}

#[test]
fn a_fault_between_groups_meets_all_between_them_and_nothing_else() {
    let world = world();
    let (_listener, target) = listener();
    let web = world.links.tcp("web", ["p2", "box"], HERE, target).unwrap();
    world.links.group("west", &["p0", "p1"]);
    world.links.group("east", &["p2", "p3", "box"]);
    let cut = Fault::cut(Cut::Silent);
    assert_eq!(world.links.set_between(&["west"], &["east"], Direction::Forth, cut), Ok(4));
    let passing = world.passing();
    assert!(passing.len() == 8 && passing.iter().all(|(from, to)| *from > 1 || *to < 2), "{passing:?}");
    assert_eq!(world.links.set_between(&["west"], &["east"], Direction::Both, Fault::default()), Ok(8));
    assert_eq!(world.links.set_between(&["box"], &["p2"], Direction::Forth, cut), Ok(1));
    web.set(Direction::Forth, Fault { loss: 0.5, ..cut }).unwrap();
    assert_eq!(world.passing().len(), 12);
    assert_eq!(world.links.set_between(&["west"], &["nobody"], Direction::Both, cut), Ok(0));
    let wrong = Fault { rate: Some(0), ..cut };
    assert_eq!(world.links.set_between(&["west"], &["west"], Direction::Both, wrong), Err(FaultError::Rate));
    assert_eq!(world.links.tallies().len(), 7);
    drop(web);
    until("gone", || world.links.tallies().len() == 6);
}

#[test]
fn a_mesh_has_two_to_a_bounded_number_of_peers_with_names_of_their_own() {
    let links = links();
    let (_socket, real) = udp();
    let peer = |nth: usize| Peer { name: format!("p{nth}"), listen: HERE, real };
    assert!(links.mesh("one", &[peer(0)]).is_err());
    assert!(links.mesh("twice", &[peer(0), peer(0)]).is_err());
    assert!(links.mesh("many", &(0..=MAX_PEERS).map(peer).collect::<Vec<_>>()).is_err());
    assert!(links.mesh("most", &(0..MAX_PEERS).map(peer).collect::<Vec<_>>()).is_ok());
}
