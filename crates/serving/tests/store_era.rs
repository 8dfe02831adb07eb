//! Which answers of the store may be used, as its eras rise.

use base::prelude::*;
use insta::assert_snapshot;
use serving::{EraView, StoreCursor};

fn at(millis: u64) -> TimePoint {
    TimePoint::default() + TimeSpan::millis(millis)
}

#[test]
fn only_a_higher_era_is_news() {
    let mut view = EraView::default();
    assert_eq!(view.observe(at(0), StoreEra(0)), None);
    assert_eq!(view.observe(at(1), StoreEra(3)), Some(StoreEra(0)));
    assert_eq!(view.observe(at(2), StoreEra(3)), None);
    assert_eq!(view.observe(at(3), StoreEra(2)), None, "a late answer");
    assert_eq!(view.observe(at(4), StoreEra(4)), Some(StoreEra(3)));
    assert_eq!(view.newest(), StoreEra(4));
}

#[test]
fn what_was_asked_for_before_the_era_rose_may_be_older() {
    let mut view = EraView::default();
    assert!(!view.may_be_older(at(0)));
    view.observe(at(5), StoreEra(1));
    assert!(view.may_be_older(at(4)));
    assert!(!view.may_be_older(at(6)));
}

/// A store that names no era is used as one whose era never rises.
#[test]
fn an_answer_continues_a_cursor_only_within_one_era() {
    let mut lines = vec!["newest  cursor  answer  use".to_owned()];
    for newest in [0, 2] {
        let mut view = EraView::default();
        view.observe(at(0), StoreEra(newest));
        for cursor in [None, Some(0), Some(1), Some(2)] {
            for answered in [None, Some(1), Some(2)] {
                // An answer raises the newest era before it is judged.
                if answered > Some(newest) {
                    continue;
                }
                let at_cursor =
                    cursor.map(|era| StoreCursor { era: StoreEra(era), offset: LogOffset(9) });
                let judged = view.judge(at_cursor, StoreEra(newest), answered.map(StoreEra));
                let text = |era: Option<u64>| era.map_or("-".to_owned(), |era| era.to_string());
                let (cursor, answered) = (text(cursor), text(answered));
                lines.push(format!("{newest:<7} {cursor:<7} {answered:<7} {judged:?}"));
            }
        }
    }
    assert_snapshot!(lines.join("\n"), @r"
    newest  cursor  answer  use
    0       -       -       Apply(StoreEra(0))
    0       0       -       Apply(StoreEra(0))
    0       1       -       ListAgain
    0       2       -       ListAgain
    2       -       -       Apply(StoreEra(2))
    2       -       1       Discard
    2       -       2       Apply(StoreEra(2))
    2       0       -       ListAgain
    2       0       1       ListAgain
    2       0       2       ListAgain
    2       1       -       ListAgain
    2       1       1       ListAgain
    2       1       2       ListAgain
    2       2       -       Apply(StoreEra(2))
    2       2       1       ListAgain
    2       2       2       Apply(StoreEra(2))
    ");
}

#[test]
fn cursors_are_ordered_by_era_first() {
    let cursor = |era, offset| StoreCursor { era: StoreEra(era), offset: LogOffset(offset) };
    assert!(cursor(1, 100) < cursor(2, 3));
    assert!(cursor(2, 3) < cursor(2, 4));
}
