//! Parsing of operators' requests, within a size limit.

use bytes::Bytes;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use serde::de::DeserializeOwned;

use super::error_response;
use crate::caller::response::Body;

/// Maximum size of a request body. The platform stores values of up to 1 MB, and JSON escapes make the
/// text of a configuration longer.
pub const MAX_BODY_BYTES: usize = 900 << 10;

/// Response with an error object.
#[derive(Debug)]
pub struct ErrorResponse(pub Box<Response<Body>>);

/// Returns the value of a query parameter without percent-decoding, which no value used here needs.
pub fn query_value<'a>(request: &'a Request<Incoming>, name: &str) -> Option<&'a str> {
    request.uri().query()?.split('&').find_map(|pair| {
        let (key, value) = pair.split_once('=')?;
        (key == name).then_some(value)
    })
}

/// Returns an integer query parameter, or `None` if it is absent.
pub fn query_number(request: &Request<Incoming>, name: &str) -> Result<Option<u64>, ErrorResponse> {
    let Some(text) = query_value(request, name) else {
        return Ok(None);
    };
    text.parse().map(Some).map_err(|_parse| {
        let message = format!("{name}: {text:?} is not a whole number");
        error_response(
            StatusCode::BAD_REQUEST,
            "invalid_parameter",
            &message,
            "correct the parameter",
        )
    })
}

/// Reads the whole body, up to [`MAX_BODY_BYTES`].
pub async fn read_body(request: Request<Incoming>) -> Result<Bytes, ErrorResponse> {
    match Limited::new(request.into_body(), MAX_BODY_BYTES)
        .collect()
        .await
    {
        Ok(body) => Ok(body.to_bytes()),
        Err(error) if error.is::<LengthLimitError>() => Err(error_response(
            StatusCode::PAYLOAD_TOO_LARGE,
            "body_too_large",
            &format!("the body is longer than {MAX_BODY_BYTES} bytes"),
            "send a shorter body",
        )),
        Err(_cut_off) => Err(error_response(
            StatusCode::BAD_REQUEST,
            "body_cut_off",
            "the body was cut off",
            "send it again",
        )),
    }
}

/// Reads the whole body as UTF-8 text.
pub async fn read_text(request: Request<Incoming>) -> Result<String, ErrorResponse> {
    String::from_utf8(read_body(request).await?.into()).map_err(|error| {
        let message = format!(
            "the body is not UTF-8 from byte {} on",
            error.utf8_error().valid_up_to()
        );
        error_response(
            StatusCode::BAD_REQUEST,
            "invalid_body",
            &message,
            "send UTF-8 text",
        )
    })
}

/// Reads the whole body and parses it as JSON.
pub async fn read_json<T>(request: Request<Incoming>) -> Result<T, ErrorResponse>
where
    T: DeserializeOwned,
{
    serde_json::from_slice(&read_body(request).await?).map_err(|error| {
        error_response(
            StatusCode::BAD_REQUEST,
            "invalid_body",
            &error.to_string(),
            "correct the body",
        )
    })
}
