//! Outcomes of requests when agents, ranks, the platform or callers fail, with all
//! processes of the fleet in one process and real connections.

use googletest::prelude::*;
use mastweir::{entry::EntryInstance, objects::GroupSpec};
use mastweir_core::table::RowKind;
use mastweir_test_support::{
    fleet::{Fleet, ServerOptions, customer, model, once, remove_row},
    ranks::RankGroup,
};
use reqwest::{Client, Response};
use serde_json::{Value, json};
use std::{sync::atomic::Ordering, time::Duration};
use tokio::time;

async fn fleet_of(servers: usize) -> eyre::Result<Fleet> {
    let mut fleet = Fleet::new(11).await?;
    fleet.row("quaystep", &customer("quaystep", 1.0));
    fleet.row("assistant", &model());
    fleet.row("desk", &once());
    for i in 0..servers {
        fleet
            .add_server(&ServerOptions {
                name: &format!("s{i}"),
                hall: "north",
                services: &["assistant", "desk"],
                slots: 4,
                queue: 16,
                group: None,
            })
            .await?;
    }
    fleet.add_entry("e0", "north").await?;
    fleet.add_entry("e1", "south").await?;
    fleet.wait_ready().await?;
    Ok(fleet)
}

async fn rebook(fleet: &Fleet, entry: usize, key: &str, marker: &str) -> eyre::Result<Response> {
    let request = Client::new().post(format!("{}/desk/rebook", fleet.url(entry)));
    let request = request.bearer_auth("quaystep").header("idempotency-key", key);
    Ok(request.body(marker.to_owned()).send().await?)
}

async fn ticket(fleet: &Fleet, entry: usize) -> eyre::Result<String> {
    let request = Client::new().post(format!("{}/v1/tickets", fleet.url(entry)));
    let body = json!({"service": "desk"});
    let answer: Value = request.bearer_auth("quaystep").json(&body).send().await?.json().await?;
    Ok(answer["ticket"].as_str().unwrap_or_default().to_owned())
}

async fn outcome(response: Response) -> eyre::Result<String> {
    let value: Value = response.json().await?;
    Ok(value["outcome"].as_str().unwrap_or("done").to_owned())
}

#[tokio::test]
async fn ticket_runs_once_through_any_entry_and_the_answer_is_kept() -> eyre::Result<()> {
    let fleet = fleet_of(2).await?;
    let ticket = ticket(&fleet, 0).await?;
    let first: Value = rebook(&fleet, 0, &ticket, "t1").await?.json().await?;
    let again: Value = rebook(&fleet, 1, &ticket, "t1").await?.json().await?;
    assert_that!(first, eq(&again));
    assert_that!(fleet.runs.of("t1"), eq(1));
    Ok(())
}

#[tokio::test]
async fn plain_key_runs_once_through_two_entries_at_once() -> eyre::Result<()> {
    let fleet = fleet_of(2).await?;
    let (a, b) = tokio::join!(rebook(&fleet, 0, "k1", "p1"), rebook(&fleet, 1, "k1", "p1"));
    assert_that!(outcome(a?).await?, eq("done"));
    assert_that!(outcome(b?).await?, eq("done"));
    assert_that!(fleet.runs.of("p1"), eq(1));
    Ok(())
}

#[tokio::test]
async fn without_the_platform_tickets_work_and_plain_keys_are_unknown() -> eyre::Result<()> {
    let fleet = fleet_of(2).await?;
    fleet.platform.set_down(true);
    let ticket = ticket(&fleet, 0).await?;
    let ticketed = rebook(&fleet, 1, &ticket, "d1").await?;
    assert_that!(outcome(ticketed).await?, eq("done"));
    let keyed = rebook(&fleet, 0, "k2", "d2").await?;
    assert_that!(keyed.status().as_u16(), eq(503));
    assert_that!(outcome(keyed).await?, eq("unknown"));
    assert_that!(fleet.runs.of("d2"), eq(0));
    Ok(())
}

#[tokio::test]
async fn lost_reply_of_the_platform_does_not_run_a_key_twice() -> eyre::Result<()> {
    let fleet = fleet_of(2).await?;
    fleet.platform.faults.lose_replies.store(true, Ordering::SeqCst);
    let first = rebook(&fleet, 0, "k3", "l1").await?;
    assert_that!(outcome(first).await?, eq("done"));
    fleet.platform.faults.lose_replies.store(false, Ordering::SeqCst);
    let again = rebook(&fleet, 1, "k3", "l1").await?;
    assert_that!(outcome(again).await?, eq("done"));
    assert_that!(fleet.runs.of("l1"), eq(1));
    Ok(())
}

#[tokio::test]
async fn ticket_of_crashed_agent_is_unknown_and_not_run_again() -> eyre::Result<()> {
    let mut fleet = fleet_of(1).await?;
    let ticket = ticket(&fleet, 0).await?;
    let first = rebook(&fleet, 0, &ticket, "g1").await?;
    assert_that!(outcome(first).await?, eq("done"));
    if let Some(agent) = fleet.servers[0].agent.take() {
        agent.kill().await;
    }
    let again = rebook(&fleet, 0, &ticket, "g1").await?;
    assert_that!(outcome(again).await?, eq("unknown"));
    assert_that!(fleet.runs.of("g1"), eq(1));
    Ok(())
}

#[tokio::test]
async fn stalled_stream_moves_without_a_repeated_or_missing_token() -> eyre::Result<()> {
    let fleet = fleet_of(2).await?;
    let body = json!({
        "model": "assistant", "prompt": "bag", "user": "m", "max_tokens": 200, "stream": true,
    });
    let request = Client::new().post(format!("{}/v1/completions", fleet.url(0)));
    let response = request.bearer_auth("quaystep").json(&body).send().await?;
    let busy = loop {
        let busy = fleet.servers.iter().find(|s| s.engine.tokens.load(Ordering::Relaxed) > 0);
        if let Some(server) = busy {
            break server;
        }
        time::sleep(Duration::from_millis(5)).await;
    };
    busy.engine.stalled.store(true, Ordering::Relaxed);
    let text = response.text().await?;
    let tokens: Vec<String> = text
        .lines()
        .filter_map(|line| serde_json::from_str::<Value>(line.strip_prefix("data: ")?).ok())
        .filter_map(|event| event["choices"][0]["delta"]["content"].as_str().map(str::to_owned))
        .collect();
    let wanted: Vec<String> = (0..200).map(|i| format!("m/{i} ")).collect();
    assert_that!(tokens, eq(&wanted));
    assert_that!(fleet.runs.of("m"), eq(2));
    Ok(())
}

#[tokio::test]
async fn caller_disconnect_cancels_request_at_engine() -> eyre::Result<()> {
    let fleet = fleet_of(1).await?;
    let body = json!({
        "model": "assistant", "prompt": "x", "user": "c", "max_tokens": 2000, "stream": true,
    });
    let request = Client::new().post(format!("{}/v1/completions", fleet.url(0)));
    let mut response = request.bearer_auth("quaystep").json(&body).send().await?;
    let _ = response.chunk().await?;
    drop(response);
    let engine = &fleet.servers[0].engine;
    for _ in 0..500 {
        if engine.left.load(Ordering::Relaxed) > 0 {
            return Ok(());
        }
        time::sleep(Duration::from_millis(20)).await;
    }
    Err(eyre::eyre!("the engine did not see its caller disconnect within 10 s"))
}

#[tokio::test]
async fn graceful_stop_of_agent_completes_running_requests() -> eyre::Result<()> {
    let mut fleet = fleet_of(2).await?;
    let body = json!({
        "model": "assistant", "prompt": "x", "user": "s", "max_tokens": 100, "stream": true,
    });
    let url = format!("{}/v1/completions", fleet.url(0));
    let calls: Vec<_> = (0..8)
        .map(|_| {
            let request = Client::new().post(&url).bearer_auth("quaystep").json(&body);
            tokio::spawn(async move { request.send().await?.text().await })
        })
        .collect();
    time::sleep(Duration::from_millis(150)).await;
    if let Some(agent) = fleet.servers[0].agent.take() {
        agent.stop().await;
    }
    for call in calls {
        assert_that!(call.await??, ends_with("data: [DONE]\n\n"));
    }
    let after = rebook(&fleet, 0, &ticket(&fleet, 0).await?, "after").await?;
    assert_that!(outcome(after).await?, eq("done"));
    Ok(())
}

#[tokio::test]
async fn drained_server_gets_no_requests_until_undrained() -> eyre::Result<()> {
    let fleet = fleet_of(1).await?;
    let drain = mastweir_core::table::Drain { reason: "disk".to_owned() };
    fleet.row("s0", &mastweir_core::table::Row::Drain(drain));
    time::sleep(Duration::from_secs(3)).await;
    let refused = rebook(&fleet, 0, &ticket(&fleet, 0).await?, "n1").await?;
    assert_that!(outcome(refused).await?, eq("not-run"));
    assert_that!(fleet.runs.of("n1"), eq(0));
    remove_row(&fleet.platform, RowKind::Drain, "s0");
    time::sleep(Duration::from_secs(3)).await;
    let taken = rebook(&fleet, 0, &ticket(&fleet, 0).await?, "n2").await?;
    assert_that!(outcome(taken).await?, eq("done"));
    Ok(())
}

#[tokio::test]
async fn entry_that_starts_without_the_platform_is_not_ready() -> eyre::Result<()> {
    let mut fleet = Fleet::new(3).await?;
    fleet.platform.set_down(true);
    fleet.add_entry("e0", "north").await?;
    time::sleep(Duration::from_millis(500)).await;
    let ready = Client::new().get(format!("{}/-/ready", fleet.url(0))).send().await?;
    assert_that!(ready.status().as_u16(), eq(503));
    Ok(())
}

/// Guards against admission control that takes the low throughput of an idle fleet for its
/// capacity.
#[tokio::test]
async fn idle_fleet_rejects_no_request_by_share() -> eyre::Result<()> {
    let fleet = fleet_of(1).await?;
    fleet.servers[0].engine.plain_us.store(2_500_000, Ordering::Relaxed);
    let slow = rebook(&fleet, 0, "i1", "i1").await?;
    assert_that!(outcome(slow).await?, eq("done"));
    for i in 0..5 {
        let key = format!("i-{i}");
        let next = rebook(&fleet, 1, &key, &key).await?;
        assert_that!(outcome(next).await?, eq("done"));
    }
    Ok(())
}

/// Guards against a group that stalls because its coordinator does not notice that a rank
/// was replaced.
#[tokio::test]
async fn group_continues_after_rank_replacement() -> eyre::Result<()> {
    let mut fleet = Fleet::new(13).await?;
    fleet.row("quaystep", &customer("quaystep", 1.0));
    fleet.row("assistant", &model());
    let ranks = RankGroup::start(2, Duration::from_millis(5));
    for i in 0..2 {
        let group = GroupSpec { name: "g1".to_owned(), first: i, ranks: 1, of: 2 };
        fleet
            .add_server(&ServerOptions {
                name: &format!("s{i}"),
                hall: "north",
                services: &["assistant"],
                slots: 4,
                queue: 16,
                group: Some((group, ranks.clone())),
            })
            .await?;
    }
    fleet.add_entry("e0", "north").await?;
    wait_for_steps(&ranks, 1).await?;
    ranks.replace(1);
    let steps = ranks.record().steps;
    wait_for_steps(&ranks, steps + 10).await?;
    assert_that!(ranks.record().two_maps, eq(0));
    Ok(())
}

async fn wait_for_steps(ranks: &RankGroup, steps: u64) -> eyre::Result<()> {
    for _ in 0..1_000 {
        if ranks.record().steps >= steps {
            return Ok(());
        }
        time::sleep(Duration::from_millis(20)).await;
    }
    Err(eyre::eyre!("the group made fewer than {steps} steps within 20 s: {:?}", ranks.record()))
}

/// Guards against table updates that are lost in a burst.
#[tokio::test]
async fn burst_of_rows_reaches_all_entries() -> eyre::Result<()> {
    let mut fleet = Fleet::new(17).await?;
    fleet.row("c0", &customer("c0", 1.0));
    for (name, hall) in [("e0", "north"), ("e1", "north"), ("e2", "north"), ("e3", "south")] {
        fleet.add_entry(name, hall).await?;
    }
    fleet.wait_ready().await?;
    time::sleep(Duration::from_secs(3)).await;
    for i in 0..200 {
        let name = format!("c{}", i % 50);
        fleet.row(&name, &customer(&name, f64::from(i)));
    }
    let row = customer("last", 1.0);
    let object = json!({"spec": row});
    let version = fleet.platform.put("rows", "customer.last", object);
    for _ in 0..250 {
        if fleet.entries.iter().all(|entry| entry.table_version() >= version) {
            return Ok(());
        }
        time::sleep(Duration::from_millis(20)).await;
    }
    let versions: Vec<u64> = fleet.entries.iter().map(EntryInstance::table_version).collect();
    Err(eyre::eyre!("entries have table versions {versions:?}, expected {version}"))
}
