package org.guavahatch.gateway.endpoint

import org.guavahatch.gateway.observation.LogLine

/**
 * Bytes on a connection that belong to no response to a request on it.
 *
 * @property connection number of the connection within this process
 * @property requests number of requests sent on the connection
 * @property lastRequest id of the request sent last
 * @property found where the bytes were found
 * @property count number of bytes read so far, or null if they were decoded as a response
 * @property excerpt the first of them, escaped, or the status line and request id of the response
 * @property millisecondsSinceAnswer time since the last whole response on the connection, or null if there was none
 */
data class UnexpectedBytes(
    val connection: Long,
    val requests: Int,
    val lastRequest: String,
    val found: Place,
    val count: Int?,
    val excerpt: String,
    val millisecondsSinceAnswer: Long?,
) {
    /**
     * Where bytes of no response are found.
     *
     * @property text name in logs
     */
    enum class Place(val text: String) {
        /** Behind a response, read together with it. */
        BEHIND_RESPONSE("behind-response"),

        /** On a connection without a request. */
        IDLE("idle"),

        /** On an idle connection, just before a request would have been sent on it. */
        BEFORE_REUSE("before-reuse"),

        /** A whole response to another request. */
        OTHER_RESPONSE("other-response"),

        /** In place of the head of a response. */
        HEAD("head"),
    }
}

/** Adds [bytes] and the [address] that sent them. */
fun LogLine.putUnexpectedBytes(address: String, bytes: UnexpectedBytes) {
    put("address", address)
    put("connection", bytes.connection)
    put("connection-requests", bytes.requests)
    put("last-request", bytes.lastRequest)
    put("found", bytes.found.text)
    bytes.count?.let { put("bytes", it) }
    put("excerpt", bytes.excerpt)
    bytes.millisecondsSinceAnswer?.let { put("since-answer", it) }
}
