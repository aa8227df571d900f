//! The settings file of the users' platform: what is read, and what is refused with
//! its remedy.

use googletest::prelude::*;
use mastweir::platform::settings::{engine, listeners, parse};

const GATEWAY: &str = r#"
node = "north-1"
zone = "north"
ip = "10.0.0.4"
internal_ports = [7400, 7410]
seeds = ["10.0.0.4:9000", "10.0.0.5:9000"]
a_field_of_tomorrow = { x = 1 }
[listen]
front = "10.0.0.4:8000"
ready = "10.0.0.4:8001"
[bounds]
drain_ms = 2000
grace_s = 8
retry_budget_ratio = 0.2
budget_window_s = 10
retry_budget_extra = 92
another = true
[platform]
address = "10.0.0.9:7000"
"#;

#[googletest::test]
fn what_a_gateway_needs_is_read_and_the_rest_ignored() -> eyre::Result<()> {
    let settings = parse(&GATEWAY.replace("[listen]", "heartbeat_ms = 1000\n[listen]"))?;
    insta::assert_debug_snapshot!(settings);
    expect_that!(listeners(&settings)?.0.port(), eq(8000));
    Ok(())
}

#[test]
fn what_can_not_be_used_is_refused_with_its_remedy() -> eyre::Result<()> {
    let change = |from: &str, to: &str| {
        parse(&GATEWAY.replace(from, to)).map_or_else(|error| error.to_string(), |_| "read".into())
    };
    let problems = [
        change("[7400, 7410]", "[7410, 7400]"),
        change("retry_budget_ratio = 0.2", "retry_budget_ratio = -1.0"),
        change("ip = \"10.0.0.4\"", "ip = \"here\""),
        change("drain_ms = 2000", ""),
        engine(&parse(GATEWAY)?).map_or_else(|error| error.to_string(), |_| "read".into()),
    ];
    insta::assert_snapshot!(problems.join("\n---\n"));
    Ok(())
}
