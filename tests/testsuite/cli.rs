//! Guards the messages and exit codes of the command line programs `mastweir` and `mastweird`.

use googletest::prelude::*;
use mastweir_core::table::{Row, RowKey, RowKind, hash_key};
use mastweir_test_support::{
    fleet::{Fleet, OPERATOR_KEY, ServerOptions, customer, model, put_row},
    forks,
    platform::Platform,
};
use std::{
    io::{self, Write},
    process::{Child, Command, Stdio},
    sync::atomic::Ordering,
};

const TOOL: &str = env!("CARGO_BIN_EXE_mastweir");
const DAEMON: &str = env!("CARGO_BIN_EXE_mastweird");

/// Starts a program that does not inherit other tests' sockets.
fn start(command: &mut Command) -> io::Result<Child> {
    let _forking = forks();
    command.spawn()
}

/// Runs a program, and returns its exit code and output.
async fn run(program: &str, args: &[&str]) -> String {
    let (program, args): (String, Vec<String>) =
        (program.to_owned(), args.iter().map(|arg| (*arg).to_owned()).collect());
    let running = tokio::task::spawn_blocking(move || {
        let mut command = Command::new(program);
        // Settings in the environment of the test run don't apply.
        let inherited = std::env::vars().filter(|(name, _)| name.starts_with("MASTWEIR_"));
        inherited.for_each(|(name, _)| {
            command.env_remove(name);
        });
        command.args(args).stdin(Stdio::null()).stdout(Stdio::piped()).stderr(Stdio::piped());
        start(&mut command)?.wait_with_output()
    });
    let output = match running.await {
        Ok(Ok(output)) => output,
        other => return format!("did not run: {other:?}"),
    };
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    let code = output.status.code();
    format!("exit {code:?}\n{}{}", text(&output.stdout), text(&output.stderr))
}

#[tokio::test]
async fn invalid_settings_name_the_flag_and_a_remedy() {
    let base = [
        "entry",
        "--name",
        "e1",
        "--hall",
        "north",
        "--platform",
        "http://127.0.0.1:1",
        "--log",
        "off",
    ];
    let hash = hash_key("operator");
    let short = [&base[..], &["--secret", "short", "--operator-key-hash", &hash]].concat();
    let no_hash =
        [&base[..], &["--secret", "a long enough secret", "--operator-key-hash", "x"]].concat();
    let mut text = run(DAEMON, &short).await;
    text.push_str(&run(DAEMON, &no_hash).await);
    text.push_str(&run(DAEMON, &["agent", "--name", "s1"]).await);
    text.push_str(&run(TOOL, &["table", "list"]).await);
    insta::assert_snapshot!(text);
}

#[tokio::test]
async fn rows_are_set_exported_and_rejected_with_a_remedy() -> eyre::Result<()> {
    let platform = Platform::new();
    let url = platform.serve(0).await?.url();
    put_row(&platform, "quaystep", &customer("quaystep", 1.0));
    let table = ["table", "--platform", &url, "--operator", "ada"];
    let with = |more: &'static [&'static str]| [&table[..], more].concat();
    let mut text = run(TOOL, &with(&["set", "quaystep", "weight=3", "inflight=40"])).await;
    text.push_str(&run(TOOL, &with(&["set", "quaystep", "weight=-3"])).await);
    text.push_str(&run(TOOL, &with(&["set", "quaystep", "colour=red"])).await);
    text.push_str(&run(TOOL, &with(&["set", "nobody", "weight=3"])).await);
    text.push_str(&run(TOOL, &with(&["export"])).await);
    text.push_str(&run(TOOL, &with(&["remove", "customer.quaystep"])).await);
    insta::assert_snapshot!(text);
    Ok(())
}

#[tokio::test]
async fn invalid_csv_changes_no_row() -> eyre::Result<()> {
    let platform = Platform::new();
    let url = platform.serve(0).await?.url();
    let hash = hash_key("k");
    let header = "name,weight,inflight,units_s,burst,queue,largest,key_hash";
    let csv = format!("{header}\na,1,5,100,100,10,1000,{hash}\nb,many,5,100,100,10,1000,{hash}\n");
    let file = std::env::temp_dir().join(format!("mastweir-csv-{}.csv", std::process::id()));
    std::fs::write(&file, csv)?;
    let name = file.to_string_lossy().into_owned();
    let text = run(TOOL, &["table", "--platform", &url, "import", &name]).await;
    std::fs::remove_file(&file)?;
    insta::assert_snapshot!(text);
    let listed = run(TOOL, &["table", "--platform", &url, "list"]).await;
    assert_that!(listed, eq("exit Some(0)\n[]\n"));
    Ok(())
}

#[tokio::test]
async fn concurrent_write_is_rejected_with_the_difference() -> eyre::Result<()> {
    let platform = Platform::new();
    let url = platform.serve(0).await?.url();
    put_row(&platform, "quaystep", &customer("quaystep", 1.0));
    // Replies are so slow that both operators read before either writes.
    platform.faults.slow_ms.store(300, Ordering::Relaxed);
    let set = |operator: &'static str, change: &'static str| {
        let url = url.clone();
        async move {
            let args =
                ["table", "--platform", &url, "--operator", operator, "set", "quaystep", change];
            run(TOOL, &args).await
        }
    };
    let (a, b) = tokio::join!(set("ada", "weight=2"), set("bob", "weight=5"));
    let accepted = [&a, &b].iter().filter(|text| text.starts_with("exit Some(0)")).count();
    let rejected = [&a, &b].iter().filter(|text| text.contains("has changed it since")).count();
    assert_that!((accepted, rejected), eq((1, 1)), "{a}{b}");
    Ok(())
}

#[tokio::test]
async fn write_whose_reply_is_lost_is_read_back() -> eyre::Result<()> {
    let platform = Platform::new();
    let url = platform.serve(0).await?.url();
    put_row(&platform, "quaystep", &customer("quaystep", 1.0));
    platform.faults.lose_replies.store(true, Ordering::SeqCst);
    let text = run(TOOL, &["table", "--platform", &url, "set", "quaystep", "weight=2"]).await;
    assert_that!(text, starts_with("exit Some(0)"));
    Ok(())
}

#[tokio::test]
async fn wait_and_explain_commands_query_the_entry() -> eyre::Result<()> {
    let mut fleet = Fleet::new(5).await?;
    fleet.row("quaystep", &customer("quaystep", 1.0));
    fleet.row("assistant", &model());
    fleet
        .add_server(&ServerOptions {
            name: "s0",
            hall: "north",
            services: &["assistant"],
            slots: 4,
            queue: 16,
            group: None,
        })
        .await?;
    fleet.add_entry("e0", "north").await?;
    fleet.wait_ready().await?;
    let entry = fleet.url(0);
    let body = serde_json::json!({"model": "assistant", "prompt": "x", "max_tokens": 2});
    let request = reqwest::Client::new().post(format!("{entry}/v1/completions")).json(&body);
    let response = request.bearer_auth("quaystep").send().await?;
    let id = response.headers()["x-request-id"].to_str()?.to_owned();
    let reach = ["--entry", &entry, "--operator-key", OPERATOR_KEY];
    let explained = run(TOOL, &[&["explain", &id][..], &reach].concat()).await;
    assert_that!(
        explained,
        all![contains_substring("route to s0"), contains_substring("end done")]
    );
    let version = fleet.platform.put(
        "rows",
        &RowKey::new(RowKind::Customer, "new").to_string(),
        serde_json::json!({"spec": Row::clone(&customer("new", 1.0))}),
    );
    let version = version.to_string();
    let wait = [&["table"][..], &reach, &["wait", &version]].concat();
    assert_that!(run(TOOL, &wait).await, starts_with("exit Some(0)"));
    let wrong = ["status", "--entry", &entry, "--operator-key", "wrong"];
    assert_that!(run(TOOL, &wrong).await, starts_with("exit Some(3)"));
    Ok(())
}

/// Guards against flags of the daemon that the settings pages do not document.
#[tokio::test]
async fn settings_page_names_every_flag() {
    let own = include_str!("../../docs/operators/settings.md");
    let users = include_str!("../../docs/operators/platform.md");
    for (role, page) in [("entry", own), ("agent", own), ("gateway", users), ("sidecar", users)] {
        let help = run(DAEMON, &[role, "--help"]).await;
        let flags = help.lines().filter_map(|line| line.trim().strip_prefix("--"));
        for flag in flags.filter_map(|flag| flag.split([' ', ',']).next()) {
            assert_that!(page, contains_substring(format!("`--{flag}`")));
        }
    }
}

/// Guards against `-` being parsed as a flag.
#[tokio::test]
async fn dash_reads_standard_input() -> eyre::Result<()> {
    let hash = tokio::task::spawn_blocking(|| {
        let mut command = Command::new(TOOL);
        command.args(["key", "hash", "-"]).stdin(Stdio::piped()).stdout(Stdio::piped());
        let mut child = start(&mut command)?;
        if let Some(mut stdin) = child.stdin.take() {
            stdin.write_all(b"secret")?;
        }
        child.wait_with_output()
    });
    let output = hash.await??;
    let printed = String::from_utf8_lossy(&output.stdout).into_owned();
    assert_that!(printed.trim(), eq(hash_key("secret")));
    Ok(())
}

/// Guards against flags from environment variables after a nested subcommand, which does not
/// know them.
#[test]
fn variables_become_flags_of_the_first_subcommand() {
    let args = ["table", "add", "quaystep"].map(str::to_owned).to_vec();
    let vars = [("MASTWEIR_PLATFORM".to_owned(), "http://127.0.0.1:1".to_owned())].into();
    let args = mastweir::util::settings::with_variables(args, &vars, &["platform", "token"]);
    let expected = ["table", "--platform", "http://127.0.0.1:1", "add", "quaystep"];
    assert_eq!(args, expected);
}
