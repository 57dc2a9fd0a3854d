//! Measures the cost of endpoint list updates. Run with `cargo bench -p shaletide-membership`.

use shaletide_membership::*;
use shaletide_types::*;
use std::hint::black_box;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Instant;

fn endpoint(n: usize, generation: usize) -> Endpoint {
    Endpoint {
        name: format!("backend-{n}-{generation}"),
        address: SocketAddr::from((Ipv4Addr::from(n as u32 + 0x0a00_0000), 80)),
        zone: format!("z{}", n % 8),
        server_type: format!("k{}", n % 4),
        deduplication_group: (n % 100) as u64,
        cores: 4,
        weight: 0,
        state: BackendState::Ready,
        started_at: None,
    }
}

fn main() {
    for backends in [100, 10_000, 100_000] {
        let pools =
            vec![PoolSpec { name: "p".into(), deduplication_domain: None, source: Source::Discovered }];
        let (mut directory, _) = Directory::new(&[], &[], pools);
        let list = |generation| (0..backends).map(|n| endpoint(n, generation)).collect::<Vec<_>>();
        let (first, second, changed) = (list(0), list(1), vec![endpoint(backends / 2, 1)]);
        let began = Instant::now();
        let memory = allocation_counter::measure(|| {
            drop(directory.apply_update(PoolId(0), EndpointUpdate::Snapshot, first))
        });
        let snapshot = began.elapsed();
        let began = Instant::now();
        drop(black_box(directory.apply_update(PoolId(0), EndpointUpdate::Delta, changed)));
        let one_changed = began.elapsed();
        let began = Instant::now();
        drop(black_box(directory.apply_update(PoolId(0), EndpointUpdate::Snapshot, second)));
        directory.retain(|_| false);
        let all_replaced = began.elapsed();
        let backend_bytes = memory.bytes_current / backends as i64;
        println!(
            "{backends:6} backends: snapshot {snapshot:?}, one changed {one_changed:?}, \
             all replaced {all_replaced:?}, ~{backend_bytes} B per backend"
        );
    }
}
