//! Entries and agents as separate processes, connected through a proxy that injects faults.

use googletest::prelude::*;
use mastweir_test_support::{
    fleet::{OPERATOR_KEY, customer, model, once},
    procs::Processes,
};
use reqwest::Client;
use serde_json::{Value, json};
use std::{path::PathBuf, sync::atomic::Ordering, time::Duration};
use tokio::time;

async fn start_fleet() -> eyre::Result<Processes> {
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

/// Waits until a request has reached a server, up to 5 s.
async fn wait_for_run(fleet: &Processes, marker: &str) -> eyre::Result<()> {
    for _ in 0..1_000 {
        if fleet.runs.of(marker) > 0 {
            return Ok(());
        }
        time::sleep(Duration::from_millis(5)).await;
    }
    Err(eyre::eyre!("request {marker} reached no server within 5 s"))
}

#[tokio::test]
async fn retry_after_lost_connection_joins_the_running_operation() -> eyre::Result<()> {
    let fleet = start_fleet().await?;
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
async fn operation_of_a_killed_agent_is_unknown_and_not_run_again() -> eyre::Result<()> {
    let mut fleet = start_fleet().await?;
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
async fn suspended_entry_does_not_repeat_an_operation_after_resuming() -> eyre::Result<()> {
    let fleet = start_fleet().await?;
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
async fn graceful_stop_of_an_entry_completes_streams_and_exits_with_0() -> eyre::Result<()> {
    let mut fleet = start_fleet().await?;
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
    Err(eyre::eyre!("the entry did not exit within 10 s"))
}

/// Guards against a deadlock between status requests and the exchange of usage, which both lock
/// the membership list and the fleet view.
#[tokio::test]
async fn status_requests_do_not_deadlock_an_entry() -> eyre::Result<()> {
    let fleet = start_fleet().await?;
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
