//! The model of interference between tasks on one worker.

use toucanquay_policy::pressure::{Model, Neighbour};

/// Effect of the noisy image in these tests, at the whole of a worker's processors.
const NOISY_EFFECT: f64 = 10.0;

/// Returns a model that has seen a load swing beside a noisy and a quiet image, and their keys.
///
/// The noisy image works half of the time; the latency alone swings by a third.
fn learned() -> (Model, usize, usize, usize) {
    let mut model = Model::default();
    let (sensitive, noisy, quiet) = (model.key("feed"), model.key("noisy"), model.key("quiet"));
    let mut alone = -1.4;
    for step in 0..400_u32 {
        let swing = 0.3 * (f64::from(step) / 18.0).sin();
        let noisy_share = if step % 10 < 5 { 0.1 } else { 0.0 };
        let quiet_share = if step % 14 < 7 { 0.1 } else { 0.0 };
        let neighbours = [
            Neighbour {
                image: noisy,
                share: noisy_share,
            },
            Neighbour {
                image: quiet,
                share: quiet_share,
            },
        ];
        let latency = (-1.2 + swing + NOISY_EFFECT * noisy_share).exp();
        model.observe(sensitive, latency, &mut alone, &neighbours);
    }
    (model, sensitive, noisy, quiet)
}

/// Guards against images that are confused: one that does no harm would be slowed down.
#[test]
fn noisy_image_is_told_from_a_quiet_one() {
    let (model, sensitive, noisy, quiet) = learned();

    let (noisy, quiet) = (
        model.effect(sensitive, noisy),
        model.effect(sensitive, quiet),
    );

    assert!((noisy - NOISY_EFFECT).abs() < 4.0, "{noisy}");
    assert!(quiet < 3.0, "{quiet}");
}

/// Guards against an image that was never seen and counts as harmless.
#[test]
fn unknown_image_has_an_effect() {
    let (model, sensitive, _, _) = learned();

    let effect = model.effect(sensitive, model.known_key("never seen"));

    assert!(effect > 1.0);
}
