//! Settings file of the users' platform: unknown fields must not prevent a start, and errors of
//! invalid settings must name the remedy.

use googletest::prelude::*;
use mastweir::platform::settings::{engine, listeners, parse};

const GATEWAY: &str = r#"
node = "north-1"
zone = "north"
ip = "10.0.0.4"
internal_ports = [7400, 7410]
seeds = ["10.0.0.4:9000", "10.0.0.5:9000"]
unknown_field = { x = 1 }
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
fn reads_gateway_settings_and_ignores_unknown_fields() -> eyre::Result<()> {
    let settings = parse(&GATEWAY.replace("[listen]", "heartbeat_ms = 1000\n[listen]"))?;
    insta::assert_debug_snapshot!(settings);
    expect_that!(listeners(&settings)?.0.port(), eq(8000));
    Ok(())
}

#[test]
fn errors_of_invalid_settings_name_the_remedy() -> eyre::Result<()> {
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
