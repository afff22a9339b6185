package org.guavahatch.daemon.entry

import io.ktor.http.HttpStatusCode

/**
 * Reason why a request is refused before it is accepted.
 *
 * @property status HTTP status of the response
 * @property code error code in the response and in metrics
 * @property message description for the caller
 */
internal sealed class CallerError(val status: HttpStatusCode, val code: String, val message: String) {
    class MissingKey :
        CallerError(HttpStatusCode.Unauthorized, "missing-key", "A client key is needed: 'Authorization: Bearer KEY'.")

    class UnknownKey : CallerError(HttpStatusCode.Unauthorized, "unknown-key", "The client key is not known.")

    class UnknownRoute(path: String) :
        CallerError(HttpStatusCode.NotFound, "unknown-route", "No route takes the path '$path'.")

    class WrongMethod(method: String, allowed: List<String>) :
        CallerError(
            HttpStatusCode.MethodNotAllowed,
            "wrong-method",
            "The route does not allow $method. Allowed are: ${allowed.joinToString()}.",
        )

    class BodyTooLarge(limit: Int) :
        CallerError(HttpStatusCode.PayloadTooLarge, "body-too-large", "The body has more than $limit bytes.")

    class PromptTooLarge(limit: Int) :
        CallerError(HttpStatusCode.PayloadTooLarge, "prompt-too-large", "The prompt has more than $limit tokens.")

    class HeaderTooLarge(name: String, limit: Int) :
        CallerError(
            HttpStatusCode.RequestHeaderFieldTooLarge,
            "header-too-large",
            "The header '$name' has more than $limit bytes.",
        )

    class MalformedBody(detail: String) :
        CallerError(HttpStatusCode.BadRequest, "malformed-body", "The body is no chat request: $detail")

    class BadDeadline(value: String) :
        CallerError(
            HttpStatusCode.BadRequest,
            "bad-deadline",
            "The deadline '$value' is not allowed. Allowed are 1 to 3600000 ms.",
        )

    class UnknownTier(value: String, known: List<String>) :
        CallerError(
            HttpStatusCode.BadRequest,
            "unknown-tier",
            "The tier '$value' is not known. Known are: ${known.joinToString()}.",
        )

    class TierNotAllowed(value: String, highest: String) :
        CallerError(
            HttpStatusCode.Forbidden,
            "tier-not-allowed",
            "The account may not use the tier '$value'. Its highest tier is '$highest'.",
        )

    class MissingIdempotencyKey :
        CallerError(
            HttpStatusCode.BadRequest,
            "missing-idempotency-key",
            "The route needs the header 'Idempotency-Key'.",
        )

    class BadIdempotencyKey :
        CallerError(
            HttpStatusCode.BadRequest,
            "bad-idempotency-key",
            "The header 'Idempotency-Key' takes 1 to 128 letters, digits and the characters . _ : -",
        )

    class NotReady :
        CallerError(HttpStatusCode.ServiceUnavailable, "not-ready", "The instance has no configuration yet.")
}
