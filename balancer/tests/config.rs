//! Parsing of the configuration file, and the errors for invalid values.

use frostkeel_balancer::config::{Config, RESERVED_SOCKETS};
use frostkeel_membership::PeerIndex;

/// A valid configuration.
const VALID: &str = r#"{"name": "n0", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:9", "seed": "8c1f30d27a5be964",
    "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "known": {"rev": 4, "targets": []},
    "settings": {"classes": [{"name": "a", "aim_ms": 200, "effect": "idempotent"}]}}"#;

#[test]
fn connection_limits_add_up_to_the_descriptor_limit() {
    let config = Config::parse(VALID).unwrap();
    assert_eq!(config.seed, 0x8c1f_30d2_7a5b_e964);
    let total =
        config.max_upstream_connections() + config.max_client_connections() + RESERVED_SOCKETS;
    assert_eq!(total, 1024);
    assert!(config.cached_list.contains("targets"));
}

/// The budget of what peers can make the balancer hold follows from the limit of memory.
#[test]
fn memory_limit_is_read_and_one_that_is_too_low_is_rejected() {
    assert_eq!(Config::parse(VALID).unwrap().memory_mb, 192.0);
    let too_low = VALID.replace(r#""memory_mb": 192"#, r#""memory_mb": 8"#);
    let error = Config::parse(&too_low).unwrap_err().to_string();
    assert_eq!(error, "limits.memory_mb must be at least 16, got 8");
}

#[test]
fn membership_is_off_by_default_and_invalid_membership_is_rejected() {
    assert!(Config::parse(VALID).unwrap().membership.is_none());
    let membership = r#""peer_listen": "127.0.0.1:0", "peers": ["127.0.0.1:5", "127.0.0.1:6"],
        "membership": {"fleet": "f", "page": "127.0.0.1:0"}, "settings": {"me": 1,"#;
    let with_membership = VALID.replace(r#""settings": {"#, membership);
    let members = Config::parse(&with_membership)
        .unwrap()
        .membership
        .expect("membership is on");
    assert_eq!(
        (members.peer, members.peers.len(), members.name.as_str()),
        (PeerIndex(1), 2, "n0")
    );
    for (from, to, named) in [
        (
            r#""me": 1"#,
            r#""me": 2"#,
            "settings.me must be an index into peers, which has 2 addresses, got 2",
        ),
        (r#""peer_listen": "127.0.0.1:0","#, "", "peer_listen"),
        (
            r#""page": "127.0.0.1:0""#,
            r#""page": "10.0.0.4:80""#,
            "loopback",
        ),
        (
            r#""name": "n0""#,
            r#""name": "n 0""#,
            r#"a name must have 1 to 16 ASCII letters, digits, '.', '_' or '-', got "n 0""#,
        ),
        (r#""fleet": "f""#, r#""fleets": "f""#, "fleets"),
    ] {
        let error = Config::parse(&with_membership.replace(from, to))
            .unwrap_err()
            .to_string();
        assert!(error.contains(named), "{error}");
    }
}

#[test]
fn config_error_names_the_invalid_value() {
    for (from, to, named) in [
        ("127.0.0.1:9", "nowhere", "socket address"),
        ("8c1f", "zzzz", "seed"),
        ("1024", "20", "sockets"),
        ("idempotent", "maybe", "maybe"),
    ] {
        let error = Config::parse(&VALID.replace(from, to))
            .unwrap_err()
            .to_string();
        assert!(error.contains(named), "{error}");
    }
}
