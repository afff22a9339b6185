package org.guavahatch.protocol.message

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.ByteString

/**
 * An HTTP call to an endpoint.
 *
 * @property method HTTP method
 * @property path path and query
 * @property contentType content type of the body, or an empty text
 * @property idempotencyKey the caller's key, or an empty text; handed on to the endpoint
 * @property body body of the call
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
