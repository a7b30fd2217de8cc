//! Fingerprints tell requests apart.

use jacinthbeam_crash::Fingerprint;

#[test]
fn parts_do_not_run_together() {
    let of = |parts: &[&str]| {
        let parts: Vec<&[u8]> = parts.iter().map(|part| part.as_bytes()).collect();
        Fingerprint::of(&parts)
    };
    assert_eq!(of(&["/a", "b"]), of(&["/a", "b"]));
    assert_ne!(of(&["/a", "b"]), of(&["/ab", ""]));
    assert_ne!(of(&["/a", "b"]), of(&["/a", "b", ""]));
}

#[test]
fn a_fingerprint_is_read_back_from_its_text() {
    let of = Fingerprint::of(&[b"GET", b"/a"]);
    assert_eq!(of.to_string().parse(), Ok(of));
    for bad in ["", "+0000000000000000000000000000000", "00", &format!("{of}0")] {
        assert!(bad.parse::<Fingerprint>().is_err(), "{bad}");
    }
}
