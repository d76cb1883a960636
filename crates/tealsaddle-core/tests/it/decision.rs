//! The ring of decisions.

use tealsaddle_core::decision::{Decision, DecisionKind, DecisionRing};

fn decision(at_us: u64) -> Decision {
    Decision {
        at_us,
        kind: DecisionKind::Route,
        subject: "request".to_owned(),
        choice: "e0".to_owned(),
        reason: String::new(),
        inputs: Vec::new(),
        alternatives: Vec::new(),
    }
}

/// Guards against a ring that exceeds its capacity, or that drops newer decisions in place of older ones.
#[test]
fn ring_keeps_the_newest_decisions_up_to_its_capacity() {
    for capacity in [0, 1, 3] {
        let mut ring = DecisionRing::with_capacity(capacity);
        for at_us in 0..5 {
            ring.push(decision(at_us));
        }
        let kept: Vec<u64> = ring.iter().map(|decision| decision.at_us).collect();
        let newest: Vec<u64> = (5 - capacity as u64..5).collect();
        assert_eq!(kept, newest);
    }
}
