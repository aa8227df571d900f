//! Settings file of the users' platform: unknown fields must not prevent a start, and errors of
//! invalid settings must name the remedy.

use googletest::prelude::*;
use mastweir::platform::{
    config, servers,
    settings::{engine, listeners, parse},
};
use mastweir_core::{
    gateway::{Urgency, UrgencyLevel, UrgencyLevels},
    revision::Revision,
};

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

#[googletest::test]
fn reads_regions_and_whether_halls_are_evacuated() -> eyre::Result<()> {
    let text = GATEWAY.replace("another = true", "evacuate_ms = 5000");
    let settings = parse(&format!("{text}[zones]\nnorth = \"east\"\n"))?;
    expect_that!(settings.has_evacuations, eq(true));
    expect_that!(settings.regions.get("north"), some(eq("east")));
    Ok(())
}

#[googletest::test]
fn reads_warm_ups_and_homes() -> eyre::Result<()> {
    let entry = |warmup: &str| {
        let spec = format!(
            r#"{{"service":"s","address":"10.0.0.1:80","zone":"north","state":"ready","warmup_left_ms":{warmup}}}"#
        );
        servers::read("a", Revision::new(0, 1), &spec)
    };
    expect_that!(entry("2500")?.warmup_ms, eq(2_500));
    // Such an entry names no server; the others hold.
    expect_that!(entry("-1"), err(anything()));
    expect_that!(entry("1e99"), err(anything()));
    let spec = r#"{"version":1,"services":[{"name":"s","warmup_per_s":26.0}],
        "routes":[{"name":"r","host":"h","path_prefix":"/","kind":"safe","timeout_ms":9,
        "service":"s","allowed_regions":["east"]}],
        "tenants":[{"name":"north","api_keys":["k"],"allowed_regions":["west"]},{"name":"free"}]}"#;
    let config = config::read("main", Revision::new(0, 1), spec)?.expect("it is the one");
    expect_that!(config.services["s"].warmup_per_s, eq(26.0));
    expect_that!(config.routes[0].homes, elements_are![eq("east")]);
    expect_that!(config.customer_homes.get("north"), some(elements_are![eq("west")]));
    expect_that!(config.customer_homes.get("free"), none());
    Ok(())
}

/// A priority that is no whole number, or out of range, must not make the configuration unreadable.
#[googletest::test]
fn reads_priorities_and_levels_of_urgency() -> eyre::Result<()> {
    let route = |name: &str, priority: &str| {
        format!(
            r#"{{"name":"{name}","host":"h","path_prefix":"/{name}/","kind":"streaming",
            "timeout_ms":9,"service":"s"{priority}}}"#
        )
    };
    let routes = [
        route("draft", r#","priority":0"#),
        route("plan", r#","priority":2"#),
        route("huge", r#","priority":300"#),
        route("below", r#","priority":-1"#),
        route("text", r#","priority":"high""#),
        route("none", ""),
    ];
    let spec = format!(
        r#"{{"version":1,"services":[{{"name":"s"}}],"routes":[{}],"tenants":[
        {{"name":"north","api_keys":["k"],"priority":1}},{{"name":"free","api_keys":["f"]}}]}}"#,
        routes.join(",")
    );
    let config = config::read("main", Revision::new(0, 1), &spec)?.expect("it is the one");
    let priorities: Vec<u8> = config.routes.iter().map(|route| route.priority).collect();
    expect_that!(priorities, container_eq([0, 2, 9, 0, 5, 5]));
    expect_that!(config.invalid_priorities, elements_are![eq("huge"), eq("below"), eq("text")]);
    expect_that!(config.customer_priorities.get("north"), some(eq(&1)));
    let levels = UrgencyLevels::new(&config);
    let level = |customer, route| levels.level("s", Urgency::new(customer, route));
    // The customer comes before the route: four priorities of routes for each of two customers.
    expect_that!(level(Some(1), 9), eq(UrgencyLevel { rank: 3, count: 8 }));
    expect_that!(level(None, 0), eq(UrgencyLevel { rank: 4, count: 8 }));
    expect_that!(levels.level("other", Urgency::new(None, 0)).is_ranked(), eq(false));
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
