//! Objects that can't be read: each names nothing, is told of once, and the others hold.

use super::gateway::{World, answer, site_of};
use eyre::Result;
use googletest::prelude::*;
use mastweir::{
    gateway::message::Message,
    platform::{
        config,
        objects::{Change, read_changes, read_one, read_page},
        servers,
    },
};
use mastweir_test_support::{
    scripted::Scripted,
    site::{Site, exchange, request, route, wait_for},
};
use proptest::{
    collection::vec,
    prelude::{Just, Strategy, any, prop_oneof},
    test_runner::{Config, TestRunner},
};
use serde_json::{Value, json};

/// A server's entry as the pages have it.
fn entry(at: &str) -> Value {
    json!({ "service": "desk", "address": at, "zone": "hall-a", "version": "v1", "slots": 8,
        "state": "ready", "warmup_left_ms": 0, "seq": 1 })
}

/// Entries that name no server, each with what is wrong with it.
fn bad_entries() -> Vec<(&'static str, Value)> {
    let with = |field: &str, value: Value| {
        let mut entry = entry("127.0.0.1:9");
        entry[field] = value;
        entry
    };
    let without = |field: &str| {
        let mut entry = entry("127.0.0.1:9");
        entry.as_object_mut().map(|entry| entry.remove(field));
        entry
    };
    vec![
        ("no-address", without("address")),
        ("no-service", without("service")),
        ("no-state", without("state")),
        ("address-a-number", with("address", json!(80))),
        ("address-no-address", with("address", json!("somewhere"))),
        ("slots-text", with("slots", json!("eight"))),
        ("slots-below-zero", with("slots", json!(-1))),
        ("slots-too-large", with("slots", json!(1_u64 << 40))),
        ("state-a-list", with("state", json!(["ready"]))),
        ("born-text", with("born", json!("yesterday"))),
        ("born-a-fraction", with("born", json!(1.5))),
        ("spec-text", json!("a string")),
        ("spec-null", Value::Null),
        ("spec-list", json!([1, 2])),
    ]
}

fn put(site: &Site, id: &str, spec: &Value) {
    site.platform.put("servers", id, json!({ "spec": spec }));
}

async fn status(world: &World, path: &str) -> u16 {
    let bytes = request("GET", path, "r-1", "", "");
    exchange(world.gateway.callers, &bytes).await.map_or(0, |reply| reply.status)
}

#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn a_gateway_starts_among_entries_that_can_not_be_read() -> Result<()> {
    let site = Site::new(1)?;
    let server = Scripted::start(|got| vec![answer(got, "200 OK", "")]).await?;
    site.list("i-0", &server, "ready");
    bad_entries().iter().for_each(|(id, spec)| put(&site, id, spec));
    site.configure(1, &[route("/safe/", "safe")]);
    let (_, served) = site.door().await?;
    let gateway = site.gateway(0, served.addr)?;
    gateway.wait_ready().await?;
    let reply = exchange(gateway.callers, &request("GET", "/safe/a", "r-1", "", "")).await?;
    expect_that!(reply.status, eq(200));
    Ok(())
}

#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn a_running_gateway_hears_on_behind_an_entry_that_can_not_be_read() -> Result<()> {
    let world = site_of(vec![
        Box::new(|got| vec![answer(got, "200 OK", "first")]),
        Box::new(|got| vec![answer(got, "200 OK", "second")]),
    ])
    .await?;
    let answered = async || {
        let bytes = request("GET", "/safe/a", "r-1", "", "");
        exchange(world.gateway.callers, &bytes).await.map_or(String::new(), |reply| reply.body)
    };
    bad_entries().iter().for_each(|(id, spec)| put(&world.site, id, spec));
    // A change behind them is heard.
    world.site.list("i-0", &world.servers[0], "draining");
    wait_for(async || answered().await == "second").await?;
    // An entry that was good names no server once it can't be read, and one again later.
    world.site.list("i-0", &world.servers[0], "ready");
    put(&world.site, "i-1", &json!("spoilt"));
    wait_for(async || answered().await == "first").await?;
    world.site.list("i-1", &world.servers[1], "ready");
    world.site.list("i-0", &world.servers[0], "draining");
    wait_for(async || answered().await == "second").await
}

#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn a_configuration_that_can_not_be_read_leaves_the_one_before() -> Result<()> {
    let world = site_of(vec![Box::new(|got| vec![answer(got, "200 OK", "")])]).await?;
    let calls = world.site.platform.calls();
    world.site.platform.put("config", "main", json!({ "spec": { "version": "three" } }));
    world.site.platform.put("config", "other", json!({ "spec": 7 }));
    tokio::time::sleep(std::time::Duration::from_millis(1_500)).await;
    expect_that!(status(&world, "/safe/a").await, eq(200));
    // It is not read over and over.
    expect_that!(world.site.platform.calls() - calls, le(12));
    world.site.configure(4, &[route("/new/", "safe")]);
    wait_for(async || status(&world, "/new/a").await == 200).await
}

/// JSON that is anything but what is wanted.
fn anything() -> impl Strategy<Value = Value> {
    let leaf = prop_oneof![
        Just(Value::Null),
        any::<bool>().prop_map(Value::from),
        any::<i64>().prop_map(Value::from),
        any::<u64>().prop_map(Value::from),
        any::<f64>().prop_map(Value::from),
        any::<String>().prop_map(Value::from),
    ];
    leaf.prop_recursive(3, 24, 5, |inner| {
        prop_oneof![
            vec(inner.clone(), 0..5).prop_map(Value::from),
            vec((any::<String>(), inner), 0..5)
                .prop_map(|fields| Value::Object(fields.into_iter().collect())),
        ]
    })
}

/// A good entry with some of its fields spoilt, or something else altogether.
fn spoilt(good: Value) -> impl Strategy<Value = Value> {
    let fields: Vec<String> =
        good.as_object().map(|fields| fields.keys().cloned().collect()).unwrap_or_default();
    let change = (0..fields.len(), prop_oneof![Just(None), anything().prop_map(Some)]);
    let changed = vec(change, 1..3).prop_map(move |changes| {
        let mut entry = good.clone();
        for (at, value) in changes {
            match value {
                Some(value) => entry[&fields[at]] = value,
                None => drop(entry.as_object_mut().map(|entry| entry.remove(&fields[at]))),
            }
        }
        entry
    });
    prop_oneof![changed, anything()]
}

fn runner() -> TestRunner {
    let config = Config { cases: 400, failure_persistence: None, ..Config::default() };
    TestRunner::new_with_rng(
        config,
        proptest::test_runner::TestRng::deterministic_rng(
            proptest::test_runner::RngAlgorithm::ChaCha,
        ),
    )
}

fn object(name: &str, spec: &Value) -> Value {
    json!({ "metadata": { "name": name, "revision": 4 }, "spec": spec, "status": null })
}

#[googletest::test]
fn good_entries_hold_beside_any_other_in_lists_and_watches() {
    let objects = vec((any::<bool>(), spoilt(entry("10.0.0.2:80")), anything()), 0..6);
    let played = runner().run(&objects, |others| {
        let mut items = vec![object("a", &entry("10.0.0.1:80"))];
        for (whole, spec, other) in others {
            items.push(if whole { object("x", &spec) } else { other });
        }
        items.push(object("z", &entry("10.0.0.3:80")));
        let events: Vec<Value> =
            items.iter().map(|item| json!({ "deleted": false, "object": item })).collect();
        let list = json!({ "items": items, "has_more": false, "timestamp": 9 }).to_string();
        let page = read_page(list.as_bytes(), 0, servers::read);
        let listed = page.map(|page| page.listed).expect("the frame is good");
        let names: Vec<&str> = listed.items.iter().map(|server| server.id.as_str()).collect();
        assert!(names.first() == Some(&"a") && names.last() == Some(&"z"), "{names:?}");
        assert_eq!(listed.items.len() + listed.unreadable.len(), items.len());
        let watched = json!({ "events": events, "timestamp": 9 }).to_string();
        let changes =
            read_changes(watched.as_bytes(), 0, servers::read).expect("the frame is good");
        assert_eq!(changes.changes.len(), items.len());
        let good = |change: &Change<_>| matches!(change, Change::Updated(_));
        assert!(changes.changes.first().is_some_and(good));
        assert!(changes.changes.last().is_some_and(good));
        Ok(())
    });
    expect_that!(played, ok(anything_at_all()));
}

/// Whatever the value.
fn anything_at_all() -> impl for<'a> Matcher<&'a ()> {
    eq(&())
}

#[googletest::test]
fn an_entry_of_bytes_that_are_no_text_spoils_no_other() {
    let good = object("a", &entry("10.0.0.1:80")).to_string();
    let mut body = br#"{"items":[{"metadata":{"name":"x"},"spec":{"service":""#.to_vec();
    body.extend([0xff, 0xfe, b'\\', b'u', b'd', b'8', b'0', b'0']);
    body.extend(br#"","slots":1e999}},"#);
    body.extend(good.bytes());
    body.extend(br#"],"timestamp":3}"#);
    let page = read_page(&body, 0, servers::read);
    let listed = page.map(|page| page.listed);
    expect_that!(listed.as_ref().map(|listed| listed.items.len()).unwrap_or(0), eq(1));
    expect_that!(listed.map(|listed| listed.unreadable.len()).unwrap_or(0), eq(1));
}

#[googletest::test]
fn other_kinds_are_read_or_refused_without_a_panic() {
    let configuration = json!({ "version": 3, "routes": [], "services": [], "tenants": [] });
    let played = runner().run(&spoilt(configuration), |spec| {
        let body = object("main", &spec).to_string();
        let _ = read_one(body.as_bytes(), 0, config::read);
        Ok(())
    });
    expect_that!(played, ok(anything_at_all()));
    let played = runner().run(&vec(any::<u8>(), 0..200), |bytes| {
        let _ = postcard::from_bytes::<Message>(&bytes);
        let _ = read_one(&bytes, 0, servers::read);
        let _ = read_page(&bytes, 0, servers::read);
        let _ = read_changes(&bytes, 0, servers::read);
        Ok(())
    });
    expect_that!(played, ok(anything_at_all()));
}
