use std::time::Duration;

use super::{Moment, ServerOffset, TimeError, format_time};

#[test]
fn moments_and_offsets_are_parsed() {
    assert_eq!(
        "37m".parse(),
        Ok(Moment::AfterFirst(Duration::from_secs(37 * 60)))
    );
    assert_eq!("1970-01-01T00:00:01.5Z".parse(), Ok(Moment::At(1_500_000)));
    assert_eq!("soon".parse::<Moment>(), Err(TimeError::NotAMoment));
    assert_eq!(
        "n=1=+1.5s".parse(),
        Ok(ServerOffset {
            server: "n=1".into(),
            offset: 1_500_000
        })
    );
    assert_eq!(
        "n2=-20ms".parse(),
        Ok(ServerOffset {
            server: "n2".into(),
            offset: -20_000
        })
    );
    assert!("n2=20".parse::<ServerOffset>().is_err() && "n2".parse::<ServerOffset>().is_err());
    assert_eq!(
        format_time(1_764_576_000_000_000),
        "2025-12-01T08:00:00.000Z"
    );
    assert_eq!(format_time(i64::MAX), "9223372036854775807 us");
}
