//! Fingerprints identify requests, and their text can be parsed.

use jacinthbeam_crash::{Fingerprint, fingerprint::HeadDigest};

fn of(parts: &[&str], body: &str) -> Fingerprint {
    let parts: Vec<&[u8]> = parts.iter().map(|part| part.as_bytes()).collect();
    Fingerprint::of(HeadDigest::of(&parts), body.as_bytes())
}

/// Guards against requests with one fingerprint because their parts are equal when concatenated.
#[test]
fn boundaries_of_parts_matter() {
    assert_eq!(of(&["/a", "b"], "c"), of(&["/a", "b"], "c"));
    assert_ne!(of(&["/a", "b"], "c"), of(&["/ab", ""], "c"));
    assert_ne!(of(&["/a", "b"], "c"), of(&["/a", "b", ""], "c"));
    assert_ne!(of(&["/a", "b"], "c"), of(&["/a", "b"], "d"));
}

/// Guards against text of an operator that is parsed as another fingerprint than the one displayed.
#[test]
fn text_is_parsed_back() {
    let of = of(&["GET", "/a"], "");
    assert_eq!(of.to_string().parse(), Ok(of));
    for bad in ["", "+0000000000000000000000000000000", "00", &format!("{of}0")] {
        assert!(bad.parse::<Fingerprint>().is_err(), "{bad}");
    }
}
