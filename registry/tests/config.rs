//! Parses invalid configurations, and checks that they are rejected with a useful message.

use frostkeel_registry::config::Config;

const VALID: &str = "fleet = \"f\"\nname = \"r0\"\nread = \"127.0.0.1:0\"\nwrite = \"127.0.0.1:0\"\nfolder = \"x\"\n";

#[test]
fn an_invalid_configuration_is_rejected_with_the_key_and_the_valid_range() {
    let config = Config::parse(VALID).expect("valid");
    assert_eq!(config.limits.max_concurrent_list_requests, 64);
    for (tables, expected) in [
        (
            "[limits]\ncalls = 0\n",
            "limits.calls must be between 1 and 1000000, got 0",
        ),
        (
            "[leases]\nlapse_share = 2.0\n",
            "leases.lapse_share must be between 0 and 1, got 2",
        ),
        (
            "[leases]\ngrace_s = -1.0\n",
            "leases.grace_s must be between 0 and 3600 s, got -1",
        ),
        ("lease = 3\n", "lease"),
    ] {
        let error = Config::parse(&format!("{VALID}{tables}"))
            .expect_err(tables)
            .to_string();
        assert!(error.contains(expected), "{error}");
    }
    let error = Config::parse(&VALID.replace("\"f\"", "\"\"")).expect_err("an empty fleet");
    assert!(error.to_string().contains("fleet"), "{error}");
}
