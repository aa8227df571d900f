//! A whole fleet in one process on loopback: platform, servers, agents, entries
//! and two customers. Run it with `cargo run --release --example quickstart`;
//! with `-- --stay` it goes on until Ctrl-C.

use futures_util::future;
use mastweir::{entry::EntryStatus, objects::GroupSpec};
use mastweir_core::switch::MapVersion;
use mastweir_test_support::{
    engine,
    fleet::{Fleet, OPERATOR_KEY, ServerOptions, customer, model, once},
    ranks::RankGroup,
};
use reqwest::{Client, Response};
use serde_json::{Value, json};
use std::{collections::BTreeMap, env, time::Duration};
use tokio::time;

const SEED: u64 = 7;
const SERVERS: usize = 4;
const CALLS: u64 = 40;
const TOKENS: u64 = 24;
const NEW_MAP: MapVersion = MapVersion(2);
const HALLS: [&str; 2] = ["north", "south"];
const CUSTOMERS: [(&str, f64); 2] = [("quaystep", 3.0), ("caroni", 1.0)];

/// What one call came to.
#[derive(Debug)]
struct Ended {
    customer: &'static str,
    what: &'static str,
    outcome: String,
}

#[tokio::main]
async fn main() -> eyre::Result<()> {
    let fleet = bring_up().await?;
    println!("a fleet of {SERVERS} servers and {} entries is up", HALLS.len());
    let client = Client::new();
    let calls = (0..CALLS).map(|i| call(&fleet, &client, i));
    let ended: Vec<Ended> = future::try_join_all(calls).await?;
    print_outcomes(&ended);
    switch_map(&fleet, &client).await?;
    print_shares(&fleet, &client).await?;
    print_next(&fleet);
    if env::args().any(|arg| arg == "--stay") {
        println!("\nruns until Ctrl-C");
        tokio::signal::ctrl_c().await?;
    }
    let whole = ended.iter().all(|call| call.outcome == "done");
    eyre::ensure!(whole, "some calls did not end well; the table above names them");
    Ok(())
}

async fn bring_up() -> eyre::Result<Fleet> {
    let mut fleet = Fleet::new(SEED).await?;
    for (name, weight) in CUSTOMERS {
        fleet.row(name, &customer(name, weight));
    }
    fleet.row("assistant", &model());
    fleet.row("desk", &once());
    let ranks = RankGroup::start(SERVERS, Duration::from_millis(5));
    for i in 0..SERVERS {
        let first = u16::try_from(i)?;
        let group =
            GroupSpec { name: "g1".to_owned(), first, ranks: 1, of: u16::try_from(SERVERS)? };
        fleet
            .add_server(&ServerOptions {
                name: &format!("server-{i}"),
                hall: HALLS[0],
                services: &["assistant", "desk"],
                slots: 8,
                queue: 64,
                group: Some((group, ranks.clone())),
            })
            .await?;
    }
    fleet.groups.push(ranks);
    for (i, hall) in HALLS.iter().enumerate() {
        fleet.add_entry(&format!("entry-{i}"), hall).await?;
    }
    fleet.wait_ready().await?;
    Ok(fleet)
}

/// One call: streamed, plain model or plain service, in turn.
async fn call(fleet: &Fleet, client: &Client, i: u64) -> eyre::Result<Ended> {
    let (customer, _) = CUSTOMERS[(i % 2) as usize];
    let base = fleet.url((i / 2 % HALLS.len() as u64) as usize);
    let marker = format!("{customer}-{i}");
    let (what, text, wanted) = match i / 2 % 3 {
        0 => {
            let text = streamed(model_call(client, &base, customer, &marker, true).await?).await?;
            ("streamed", text, engine::answer_text(&marker, TOKENS))
        }
        1 => {
            let answer: Value =
                model_call(client, &base, customer, &marker, false).await?.json().await?;
            let text = answer["choices"][0]["message"]["content"].as_str().unwrap_or_default();
            ("whole", text.to_owned(), engine::answer_text(&marker, TOKENS))
        }
        _ => {
            let request = client.post(format!("{base}/desk/rebook")).bearer_auth(customer);
            let answer: Value = request.body(marker.clone()).send().await?.json().await?;
            let text = answer["receipt"].as_str().unwrap_or_default().to_owned();
            ("plain, at most once", text, marker)
        }
    };
    let outcome = if text == wanted { "done".to_owned() } else { format!("wrong: {text:?}") };
    Ok(Ended { customer, what, outcome })
}

async fn model_call(
    client: &Client,
    base: &str,
    customer: &str,
    marker: &str,
    stream: bool,
) -> eyre::Result<Response> {
    let body = json!({
        "model": "assistant",
        "messages": [{"role": "user", "content": format!("where is my bag, {marker}?")}],
        "user": marker,
        "max_tokens": TOKENS,
        "stream": stream,
    });
    let request = client.post(format!("{base}/v1/chat/completions")).bearer_auth(customer);
    Ok(request.json(&body).send().await?)
}

/// The text of a stream, if it is whole.
async fn streamed(response: Response) -> eyre::Result<String> {
    let body = response.text().await?;
    eyre::ensure!(body.ends_with("data: [DONE]\n\n"), "a stream was cut: {body:?}");
    let events = body.lines().filter_map(|line| line.strip_prefix("data: "));
    let deltas = events.filter_map(|event| serde_json::from_str::<Value>(event).ok());
    let text = |delta: Value| delta["choices"][0]["delta"]["content"].as_str().map(str::to_owned);
    Ok(deltas.filter_map(text).collect())
}

/// Waits until the rank group runs, then has it change its map.
async fn switch_map(fleet: &Fleet, client: &Client) -> eyre::Result<()> {
    let ranks = &fleet.groups[0];
    for _ in 0..500 {
        let record = ranks.record();
        if record.map == NEW_MAP {
            return Ok(());
        }
        if record.steps > 0 {
            let url = format!("{}/-/groups/g1", fleet.url(0));
            let wanted = json!({"map": NEW_MAP.0});
            client.post(url).bearer_auth(OPERATOR_KEY).json(&wanted).send().await?;
        }
        time::sleep(Duration::from_millis(20)).await;
    }
    eyre::bail!("the rank group did not change its map; look for its coordinator's log lines")
}

fn print_outcomes(ended: &[Ended]) {
    let mut counts: BTreeMap<(&str, &str, &str), u32> = BTreeMap::new();
    for call in ended {
        *counts.entry((call.customer, call.what, &call.outcome)).or_default() += 1;
    }
    println!("\n{:10} {:20} {:10} calls", "customer", "kind", "outcome");
    for ((customer, what, outcome), count) in counts {
        println!("{customer:10} {what:20} {outcome:10} {count}");
    }
}

async fn print_shares(fleet: &Fleet, client: &Client) -> eyre::Result<()> {
    let url = format!("{}/-/status", fleet.url(0));
    let status: EntryStatus =
        client.get(url).bearer_auth(OPERATOR_KEY).send().await?.json().await?;
    println!("\n{:10} {:>6} {:>9}", "customer", "weight", "promised");
    for share in &status.shares {
        println!("{:10} {:>6} {:>8.1}%", share.customer, share.weight, share.promised_pct);
    }
    let record = fleet.groups[0].record();
    println!(
        "\ngroup g1: {} steps under map {}, {} of them under two maps, skew {:.2}",
        record.steps,
        record.map.0,
        record.two_maps,
        f64::from(status.servers[0].skew) / 1e3,
    );
    Ok(())
}

fn print_next(fleet: &Fleet) {
    let entry = fleet.url(0);
    let platform = fleet.served.url();
    println!("\nhow to go on, with '-- --stay' at the end of the command:");
    println!("  curl -N {entry}/v1/chat/completions -H 'Authorization: Bearer quaystep' \\");
    println!("    -H 'Content-Type: application/json' \\");
    println!(
        "    -d '{{\"model\":\"assistant\",\"stream\":true,\"max_tokens\":8,\"prompt\":\"hello\"}}'"
    );
    println!("  mastweir --platform {platform} table set quaystep weight=5");
    println!("  mastweir --entry {entry} --operator-key {OPERATOR_KEY} status");
}
