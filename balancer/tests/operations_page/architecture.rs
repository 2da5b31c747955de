//! Checks that the repository paths in `docs/ARCHITECTURE.md` exist, and that the text outside the diagrams gives the
//! path of each source file that a diagram names.

use super::page::{is_repository_path, page, root, texts_in_backticks};

#[test]
fn paths_on_the_architecture_page_exist() {
    let text = page("ARCHITECTURE.md");
    let paths: Vec<String> = texts_in_backticks(&text)
        .into_iter()
        .filter(|text| is_repository_path(text))
        .collect();
    assert!(paths.len() > 50, "only {} paths were found", paths.len());
    let missing: Vec<&String> = paths
        .iter()
        .filter(|path| !root().join(path).exists())
        .collect();
    assert!(
        missing.is_empty(),
        "ARCHITECTURE.md names paths that do not exist: {missing:?}"
    );
}

/// Returns the names of source files in the code blocks of a page.
fn source_names_in_diagrams(page: &str) -> Vec<&str> {
    let blocks = page.split("```").skip(1).step_by(2);
    let tokens = blocks
        .flat_map(|block| block.split(|c: char| !c.is_ascii_alphanumeric() && !"_./".contains(c)));
    tokens.filter(|token| token.ends_with(".rs")).collect()
}

#[test]
fn text_gives_the_path_of_each_source_file_in_a_diagram() {
    let text = page("ARCHITECTURE.md");
    let names = source_names_in_diagrams(&text);
    let mut diagrams = text
        .split("```mermaid")
        .skip(1)
        .map(|rest| rest.split("```").next());
    assert!(
        diagrams.all(|diagram| diagram.is_some_and(|diagram| !diagram.contains(';'))),
        "a semicolon ends a statement in Mermaid"
    );
    assert!(names.len() > 10, "only {} names were found", names.len());
    let paths = texts_in_backticks(&text);
    let is_known = |name: &str| {
        paths
            .iter()
            .any(|path| path == name || path.ends_with(&format!("/{name}")))
    };
    let unknown: Vec<&str> = names.into_iter().filter(|name| !is_known(name)).collect();
    assert!(
        unknown.is_empty(),
        "diagrams name files that no path on the page ends with: {unknown:?}"
    );
}

#[test]
fn recognizes_repository_paths() {
    for path in ["src/policy/", "Cargo.toml", "balancer/tests/sockets.rs"] {
        assert!(is_repository_path(path), "{path}");
    }
    for other in [
        "/health/ready",
        "Event::Watch",
        "frostkeel registry",
        "known",
    ] {
        assert!(!is_repository_path(other), "{other}");
    }
}
