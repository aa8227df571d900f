//! A model server leaves an order unanswered and carries it out late, while a second answer to the
//! order before it arrives on the same connection.

use crate::{
    group::{Group, EXPERTS, PLACES, SETS},
    world::{cannot_run, Record, World, HOST, KEY, TENANT},
};
use std::{
    net::SocketAddr,
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

const RANKS: u8 = 3;
/// Changes of the map before the fault, which show that the group is sound.
const CHANGES: u64 = 2;
const LASTS: Duration = Duration::from_secs(60);

fn desired() -> String {
    format!(
        r#"{{"version":1,"routes":[{{"name":"bag","host":"{HOST}","path_prefix":"/bag/","kind":"streaming","timeout_ms":8000,"target_latency_ms":400,"priority":1,"service":"assist","max_attempts":2,"public":false,"session_affinity":true,"stream_resume":true,"gap_aim_ms":120}}],"services":[{{"name":"assist","health_path":"/healthz","max_connections":418,"protocol":"h1","tls":false,"engine":{{"slots":12,"kv_capacity_tokens":494000,"kv_token_bytes":35136,"link_mbps":92000.0,"stride":6,"models":[{{"name":"m"}}],"step_ms":4.84,"per_seq_ms":0.362,"context_per_k":0.011,"read_per_s":74800.0,"pairs_per_m":0.232,"chunk":512,"report_lag_ms":200.0,"usual":{{"prompt":835,"answer":159}},"sets":{SETS},"experts":{EXPERTS},"places":{PLACES},"spare_slots":4,"expert_mb":1700.0,"expert_share":0.85,"form_ms":600.0}}}}],"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}},"tenants":[{{"name":"{TENANT}","api_keys":["{KEY}"],"priority":1}}]}}"#
    )
}

pub fn run(record: &Arc<Record>, trouble: bool) -> bool {
    let mut world = World::with_sides(record, 2, RANKS);
    let port = world.ports()[4];
    let ranks: Vec<SocketAddr> = world.sides.iter().map(|ip| SocketAddr::new(*ip, port)).collect();
    let group = Group::start(record, &ranks);
    world.store.put("config", "main", &desired());
    for (number, addr) in ranks.iter().enumerate() {
        let entry = format!(
            r#"{{"service":"assist","address":"{addr}","zone":"hall-a","version":"v1","slots":12,"state":"ready","warmup_left_ms":0,"stage":"colocated","models":[{{"name":"m","version":1,"adapters":[]}}],"seq":1}}"#
        );
        world.store.put("servers", &format!("i-rank{number}"), &entry);
    }
    world.start_sidecars();
    world.start();
    let end = Instant::now() + LASTS;
    let wait = |until: &dyn Fn() -> bool| {
        while !until() && Instant::now() < end {
            thread::sleep(Duration::from_millis(20));
        }
    };
    wait(&|| group.seen().0 >= CHANGES);
    let (changes, broken) = group.seen();
    if changes < CHANGES || !broken.is_empty() {
        world.keep_logs();
        cannot_run("the group did not change its map before the disruption");
    }
    if trouble {
        group.set_fault();
        wait(&|| group.is_struck());
        if !group.is_struck() {
            world.keep_logs();
            cannot_run("no order came over a connection that had carried one");
        }
    } else {
        wait(&|| group.seen().0 >= CHANGES + 3);
    }
    thread::sleep(Duration::from_secs(5));
    let (changes, broken) = group.seen();
    world.keep_logs();
    record.line(&format!(
        "{changes} changes of the map in all; {} passes began while two ranks held different maps, the first of them {:?}",
        broken.len(),
        broken.first()
    ));
    !broken.is_empty()
}
