//! Path of a request through entry, agent and engine, all in one process.

use googletest::prelude::*;
use mastweir_test_support::{
    engine,
    fleet::{Fleet, ServerOptions, customer, model, once},
};
use serde_json::{Value, json};

async fn small_fleet() -> eyre::Result<Fleet> {
    let mut fleet = Fleet::new(1).await?;
    fleet.row("quaystep", &customer("quaystep", 1.0));
    fleet.row("assistant", &model());
    fleet.row("desk", &once());
    for name in ["s1", "s2"] {
        fleet
            .add_server(&ServerOptions {
                name,
                hall: "north",
                services: &["assistant", "desk"],
                slots: 4,
                queue: 16,
                group: None,
            })
            .await?;
    }
    fleet.add_entry("e1", "north").await?;
    fleet.wait_ready().await?;
    Ok(fleet)
}

#[tokio::test]
async fn request_returns_complete_answer() -> eyre::Result<()> {
    let fleet = small_fleet().await?;
    let body = json!({"model": "assistant", "prompt": "bag", "user": "m1", "max_tokens": 5});
    let client = reqwest::Client::new();
    let request = client.post(format!("{}/v1/completions", fleet.url(0))).json(&body);
    let answer: Value = request.bearer_auth("quaystep").send().await?.json().await?;
    let text = answer["choices"][0]["message"]["content"].as_str().unwrap_or_default();
    assert_that!(text, eq(&engine::answer_text("m1", 5)));
    assert_that!(fleet.runs.of("m1"), eq(1));
    Ok(())
}

#[tokio::test]
async fn stream_is_complete_and_ends_with_done_event() -> eyre::Result<()> {
    let fleet = small_fleet().await?;
    let body = json!({
        "model": "assistant", "prompt": "bag", "user": "m2", "max_tokens": 3, "stream": true,
    });
    let client = reqwest::Client::new();
    let request = client.post(format!("{}/v1/chat/completions", fleet.url(0))).json(&body);
    let text = request.bearer_auth("quaystep").send().await?.text().await?;
    insta::assert_snapshot!(text);
    Ok(())
}

#[tokio::test]
async fn unknown_key_is_rejected_with_remedy() -> eyre::Result<()> {
    let fleet = small_fleet().await?;
    let client = reqwest::Client::new();
    let request = client.post(format!("{}/desk/rebook", fleet.url(0))).body("m3");
    let response = request.bearer_auth("nobody").send().await?;
    assert_that!(response.status().as_u16(), eq(401));
    let mut problem: Value = response.json().await?;
    problem["request"] = json!("ID");
    insta::assert_snapshot!(serde_json::to_string_pretty(&problem)?);
    assert_that!(fleet.runs.of("m3"), eq(0));
    Ok(())
}
