package org.guavahatch.protocol.message

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.ByteString

/**
 * An HTTP request to an endpoint.
 *
 * @property method HTTP method
 * @property path path and query string
 * @property contentType content type of the body, or an empty string
 * @property idempotencyKey idempotency key of the caller, or an empty string; forwarded to the endpoint
 * @property body body of the request
 */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
public class EndpointCall(
    public val method: String,
    public val path: String,
    public val contentType: String,
    public val idempotencyKey: String,
    @ByteString public val body: ByteArray,
)
