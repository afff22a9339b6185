package org.guavahatch.cli.soak

import org.guavahatch.platform.PlatformHeaders
import org.guavahatch.platform.standin.EndpointReply

/**
 * The answer of an endpoint to a request.
 *
 * @property status status code
 * @property seal seal, which tells all answers apart
 * @property isWhole whether the endpoint writes all of it
 * @param id id of the request
 * @param events events of a stream, null if the answer is no stream
 * @param isRejection whether the answer says that the request was not run
 */
internal class SoakAnswer(
    id: String,
    val status: Int,
    val seal: String,
    events: List<String>? = null,
    val isWhole: Boolean = true,
    isRejection: Boolean = false,
) {
    /** The whole body. */
    val body = events?.joinToString("") ?: if (isRejection) "" else id

    // The seal comes first: a copy that is cut inside it bears no id, and can be taken for the head of another answer.
    private val head = "HTTP/1.1 $status X\r\n$SEAL: $seal\r\n${PlatformHeaders.names.requestId}: $id\r\n" +
        (if (isRejection) "${PlatformHeaders.names.notRun}: 1\r\n" else "") +
        if (events == null) "Content-Length: ${body.length}\r\n\r\n" else STREAM_FIELDS

    /** What the endpoint writes, one element at a time. */
    val pieces = if (events == null) {
        listOf(head + body)
    } else {
        val whole = listOf(head) + events.map { "${it.length.toString(HEXADECIMAL)}\r\n$it\r\n" } + "0\r\n\r\n"
        if (isWhole) whole else whole.dropLast(2)
    }

    companion object {
        const val SEAL = EndpointReply.SEAL_HEADER
        private const val STREAM_FIELDS = "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        private const val HEXADECIMAL = 16
    }
}
