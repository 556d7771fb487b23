//! Only unchanged messages that were sealed with the nodes' key are accepted.

use dalestand_peer_seal::{PeerSeal, SealError};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

fn config() -> Config {
    Config {
        rng_seed: RngSeed::Fixed(7),
        failure_persistence: None,
        ..Config::with_cases(128)
    }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn a_sealed_message_is_opened_unchanged(message: Vec<u8>, secret: Option<String>) {
        let seal = PeerSeal::new(secret.as_deref());
        let mut sealed = message.clone();
        seal.seal(&mut sealed);
        prop_assert_eq!(sealed.len(), message.len() + seal.overhead());
        prop_assert_eq!(seal.open(&sealed), Ok(message.as_slice()));
    }

    #[test]
    fn a_changed_byte_is_detected(message: Vec<u8>, position: prop::sample::Index, change in 1_u8..) {
        let seal = PeerSeal::new(Some("the nodes' secret"));
        let mut sealed = message;
        seal.seal(&mut sealed);
        let position = position.index(sealed.len());
        sealed[position] ^= change;
        prop_assert_eq!(seal.open(&sealed), Err(SealError::WrongTag));
    }

    #[test]
    fn another_key_does_not_open(message: Vec<u8>) {
        let mut sealed = message;
        PeerSeal::new(Some("one secret")).seal(&mut sealed);
        let opened = PeerSeal::new(Some("another secret")).open(&sealed).map(<[u8]>::to_vec);
        prop_assert_eq!(opened, Err(SealError::WrongTag));
    }
}

#[test]
fn a_message_shorter_than_a_tag_is_refused() {
    let seal = PeerSeal::new(Some("the nodes' secret"));
    assert_eq!(seal.open(&[0; 15]), Err(SealError::TooShort));
}
