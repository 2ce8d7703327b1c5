//! Responses that are stored for later attempts with the same idempotency key.

use bytes::Bytes;
use http::header::{
    CACHE_CONTROL, CONTENT_DISPOSITION, CONTENT_ENCODING, CONTENT_LANGUAGE, CONTENT_TYPE, ETAG,
    LAST_MODIFIED, LOCATION,
};
use http::response::Parts;
use http::{HeaderName, HeaderValue, Response, StatusCode};

use crate::calls::answer::Answer;

/// Header that marks a response as replayed from an earlier attempt.
const REPLAYED: HeaderName = HeaderName::from_static("idempotent-replayed");

/// Headers that are stored; all other headers apply to a single attempt.
const STORED_HEADERS: [HeaderName; 8] = [
    CACHE_CONTROL,
    CONTENT_DISPOSITION,
    CONTENT_ENCODING,
    CONTENT_LANGUAGE,
    CONTENT_TYPE,
    ETAG,
    LAST_MODIFIED,
    LOCATION,
];

/// Converts a response to its stored form.
#[must_use]
pub fn store(head: &Parts, body: &Bytes) -> swiftcart_core::Answer {
    let kept = STORED_HEADERS.iter().filter_map(|name| {
        let value = head.headers.get(name)?.to_str().ok()?;
        Some((name.as_str().to_owned(), value.to_owned()))
    });
    swiftcart_core::Answer {
        status: head.status.as_u16(),
        headers: kept.collect(),
        body: body.to_vec(),
    }
}

/// Creates the response from its stored form, marked as replayed.
#[must_use]
pub fn replay(stored: &swiftcart_core::Answer) -> Response<Answer> {
    let mut response = Response::new(Answer::text(stored.body.clone()));
    let status = StatusCode::from_u16(stored.status);
    *response.status_mut() = status.unwrap_or(StatusCode::BAD_GATEWAY);
    let headers = response.headers_mut();
    for (name, value) in &stored.headers {
        let name = HeaderName::try_from(name.as_str());
        let value = HeaderValue::try_from(value.as_str());
        if let (Ok(name), Ok(value)) = (name, value) {
            headers.insert(name, value);
        }
    }
    headers.insert(REPLAYED, HeaderValue::from_static("true"));
    response
}
