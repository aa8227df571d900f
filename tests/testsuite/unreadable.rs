//! Malformed objects in the store must not affect the others, or stop a gateway.

use super::gateway::{TestFixture, answer, start_fixture};
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

/// A valid entry of a server.
fn entry(at: &str) -> Value {
    json!({ "service": "desk", "address": at, "zone": "hall-a", "version": "v1", "slots": 8,
        "state": "ready", "warmup_left_ms": 0, "seq": 1 })
}

/// Malformed entries, each with a name for its fault.
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

async fn status(fixture: &TestFixture, path: &str) -> u16 {
    let bytes = request("GET", path, "r-1", "", "");
    exchange(fixture.gateway.callers, &bytes).await.map_or(0, |reply| reply.status)
}

#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn gateway_starts_with_malformed_entries() -> Result<()> {
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
async fn gateway_receives_changes_after_malformed_entry() -> Result<()> {
    let fixture = start_fixture(vec![
        Box::new(|got| vec![answer(got, "200 OK", "first")]),
        Box::new(|got| vec![answer(got, "200 OK", "second")]),
    ])
    .await?;
    let answered = async || {
        let bytes = request("GET", "/safe/a", "r-1", "", "");
        exchange(fixture.gateway.callers, &bytes).await.map_or(String::new(), |reply| reply.body)
    };
    bad_entries().iter().for_each(|(id, spec)| put(&fixture.site, id, spec));
    // A later change is received.
    fixture.site.list("i-0", &fixture.servers[0], "draining");
    wait_for(async || answered().await == "second").await?;
    // A server whose entry becomes malformed is dropped until the entry is valid again.
    fixture.site.list("i-0", &fixture.servers[0], "ready");
    put(&fixture.site, "i-1", &json!("spoilt"));
    wait_for(async || answered().await == "first").await?;
    fixture.site.list("i-1", &fixture.servers[1], "ready");
    fixture.site.list("i-0", &fixture.servers[0], "draining");
    wait_for(async || answered().await == "second").await
}

#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn malformed_configuration_keeps_previous_one() -> Result<()> {
    let fixture = start_fixture(vec![Box::new(|got| vec![answer(got, "200 OK", "")])]).await?;
    let calls = fixture.site.platform.calls();
    fixture.site.platform.put("config", "main", json!({ "spec": { "version": "three" } }));
    fixture.site.platform.put("config", "other", json!({ "spec": 7 }));
    tokio::time::sleep(std::time::Duration::from_millis(1_500)).await;
    expect_that!(status(&fixture, "/safe/a").await, eq(200));
    // The malformed object is not read repeatedly.
    expect_that!(fixture.site.platform.calls() - calls, le(12));
    fixture.site.configure(4, &[route("/new/", "safe")]);
    wait_for(async || status(&fixture, "/new/a").await == 200).await
}

/// Arbitrary JSON.
fn arbitrary_json() -> impl Strategy<Value = Value> {
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

/// A valid entry with some of its fields removed or replaced, or arbitrary JSON.
fn corrupted(good: Value) -> impl Strategy<Value = Value> {
    let fields: Vec<String> =
        good.as_object().map(|fields| fields.keys().cloned().collect()).unwrap_or_default();
    let change = (0..fields.len(), prop_oneof![Just(None), arbitrary_json().prop_map(Some)]);
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
    prop_oneof![changed, arbitrary_json()]
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
fn valid_entries_are_read_among_malformed_ones() {
    let objects = vec((any::<bool>(), corrupted(entry("10.0.0.2:80")), arbitrary_json()), 0..6);
    let result = runner().run(&objects, |others| {
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
    expect_that!(result, ok(is_unit()));
}

/// Matches the unit value.
fn is_unit() -> impl for<'a> Matcher<&'a ()> {
    eq(&())
}

#[googletest::test]
fn entry_with_invalid_utf8_does_not_affect_others() {
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
fn malformed_objects_and_messages_do_not_panic() {
    let configuration = json!({ "version": 3, "routes": [], "services": [], "tenants": [] });
    let result = runner().run(&corrupted(configuration), |spec| {
        let body = object("main", &spec).to_string();
        let _ = read_one(body.as_bytes(), 0, config::read);
        Ok(())
    });
    expect_that!(result, ok(is_unit()));
    let result = runner().run(&vec(any::<u8>(), 0..200), |bytes| {
        let _ = postcard::from_bytes::<Message>(&bytes);
        let _ = read_one(&bytes, 0, servers::read);
        let _ = read_page(&bytes, 0, servers::read);
        let _ = read_changes(&bytes, 0, servers::read);
        Ok(())
    });
    expect_that!(result, ok(is_unit()));
}
