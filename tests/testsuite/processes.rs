//! Real daemons as processes, behind the fault-injecting proxy.

use googletest::prelude::*;
use mastweir_test_support::{
    fleet::{OPERATOR_KEY, customer, model, once},
    procs::Processes,
};
use reqwest::Client;
use serde_json::{Value, json};
use std::{path::PathBuf, sync::atomic::Ordering, time::Duration};
use tokio::time;

async fn bring_up() -> eyre::Result<Processes> {
    let mut fleet = Processes::new(PathBuf::from(env!("CARGO_BIN_EXE_mastweird"))).await?;
    fleet.row("quaystep", &customer("quaystep", 1.0));
    fleet.row("assistant", &model());
    fleet.row("desk", &once());
    for name in ["s0", "s1"] {
        fleet.add_server(name, "north", &["assistant", "desk"], None).await?;
    }
    for name in ["e0", "e1"] {
        fleet.add_entry(name, "north").await?;
    }
    fleet.wait_ready().await?;
    Ok(fleet)
}

async fn ticket(fleet: &Processes) -> eyre::Result<String> {
    let request = Client::new().post(format!("{}/v1/tickets", fleet.urls()[0]));
    let request = request.bearer_auth("quaystep").json(&json!({"service": "desk"}));
    let answer: Value = request.send().await?.json().await?;
    Ok(answer["ticket"].as_str().unwrap_or_default().to_owned())
}

async fn submit(url: &str, ticket: &str, marker: &str) -> eyre::Result<String> {
    let request = Client::new().post(format!("{url}/desk/rebook")).bearer_auth("quaystep");
    let request = request.header("idempotency-key", ticket).body(marker.to_owned());
    let answer: Value = request.send().await?.json().await?;
    Ok(answer["outcome"].as_str().unwrap_or("done").to_owned())
}

/// Waits until a request has reached a server, however busy the machine is.
async fn wait_for_run(fleet: &Processes, marker: &str) -> eyre::Result<()> {
    for _ in 0..1_000 {
        if fleet.runs.of(marker) > 0 {
            return Ok(());
        }
        time::sleep(Duration::from_millis(5)).await;
    }
    Err(eyre::eyre!("{marker} does not reach a server"))
}

#[tokio::test]
async fn connection_lost_after_the_order_left_is_joined_and_not_run_twice() -> eyre::Result<()> {
    let fleet = bring_up().await?;
    let ticket = ticket(&fleet).await?;
    for server in &fleet.servers {
        server.engine.plain_us.store(800_000, Ordering::Relaxed);
    }
    let url = fleet.urls()[0].clone();
    let call = {
        let ticket = ticket.clone();
        tokio::spawn(async move { submit(&url, &ticket, "lost").await })
    };
    wait_for_run(&fleet, "lost").await?;
    for server in &fleet.servers {
        server.agent.proxy.faults.refuse.store(true, Ordering::SeqCst);
    }
    time::sleep(Duration::from_millis(30)).await;
    for server in &fleet.servers {
        server.agent.proxy.faults.refuse.store(false, Ordering::SeqCst);
    }
    assert_that!(call.await??, eq("done"));
    assert_that!(submit(&fleet.urls()[1], &ticket, "lost").await?, eq("done"));
    assert_that!(fleet.runs.of("lost"), eq(1));
    Ok(())
}

#[tokio::test]
async fn agent_killed_in_mid_call_is_unknown_and_never_run_again() -> eyre::Result<()> {
    let mut fleet = bring_up().await?;
    let ticket = ticket(&fleet).await?;
    for server in &fleet.servers {
        server.engine.plain_us.store(1_500_000, Ordering::Relaxed);
    }
    let url = fleet.urls()[0].clone();
    let call = {
        let ticket = ticket.clone();
        tokio::spawn(async move { submit(&url, &ticket, "killed").await })
    };
    wait_for_run(&fleet, "killed").await?;
    for server in 0..fleet.servers.len() {
        fleet.restart_agent(server)?;
    }
    assert_that!(call.await??, eq("unknown"));
    fleet.wait_ready().await?;
    assert_that!(submit(&fleet.urls()[1], &ticket, "killed").await?, eq("unknown"));
    assert_that!(fleet.runs.of("killed"), eq(1));
    Ok(())
}

#[tokio::test]
async fn paused_entry_that_wakes_runs_nothing_again() -> eyre::Result<()> {
    let fleet = bring_up().await?;
    let ticket = ticket(&fleet).await?;
    let urls = fleet.urls();
    for server in &fleet.servers {
        server.engine.plain_us.store(800_000, Ordering::Relaxed);
    }
    let first = {
        let (url, ticket) = (urls[0].clone(), ticket.clone());
        tokio::spawn(async move { submit(&url, &ticket, "paused").await })
    };
    wait_for_run(&fleet, "paused").await?;
    fleet.entries[0].daemon.pause();
    assert_that!(submit(&urls[1], &ticket, "paused").await?, eq("done"));
    fleet.entries[0].daemon.resume();
    assert_that!(first.await??, eq("done"));
    assert_that!(fleet.runs.of("paused"), eq(1));
    Ok(())
}

#[tokio::test]
async fn planned_stop_of_an_entry_cuts_no_stream_and_exits_well() -> eyre::Result<()> {
    let mut fleet = bring_up().await?;
    let body = json!({
        "model": "assistant", "prompt": "x", "user": "s", "max_tokens": 120, "stream": true,
    });
    let request = Client::new().post(format!("{}/v1/completions", fleet.urls()[0]));
    let response = request.bearer_auth("quaystep").json(&body).send().await?;
    fleet.entries[0].daemon.terminate();
    assert_that!(response.text().await?, ends_with("data: [DONE]\n\n"));
    for _ in 0..500 {
        if let Some(code) = fleet.entries[0].daemon.exit_code()? {
            assert_that!(code, eq(0));
            return Ok(());
        }
        time::sleep(Duration::from_millis(20)).await;
    }
    Err(eyre::eyre!("the entry does not end"))
}

/// Found by the table measure: a status took the members' lock before the
/// view's, the exchange the other way round, and the entry stood still.
#[tokio::test]
async fn status_does_not_stop_an_entry() -> eyre::Result<()> {
    let fleet = bring_up().await?;
    let url = format!("{}/-/status", fleet.urls()[0]);
    let client = Client::builder().timeout(Duration::from_secs(10)).build()?;
    let polls: Vec<_> = (0..8)
        .map(|_| {
            let (client, url) = (client.clone(), url.clone());
            tokio::spawn(async move {
                for _ in 0..300 {
                    client.get(&url).bearer_auth(OPERATOR_KEY).send().await?;
                }
                Ok::<(), reqwest::Error>(())
            })
        })
        .collect();
    for i in 0..400 {
        let name = format!("c{}", i % 20);
        fleet.row(&name, &customer(&name, f64::from(i)));
        time::sleep(Duration::from_millis(2)).await;
    }
    for poll in polls {
        poll.await??;
    }
    Ok(())
}
