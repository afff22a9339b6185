package org.guavahatch.gateway.http

import io.netty.buffer.ByteBuf

/**
 * Finds the head of another response inside the body of one: a status line, header fields, and the id of a request.
 * The end of a body without a length cannot be told from its bytes, and a body that is broken off is filled up by
 * whatever follows.
 *
 * @param requestIdHeader name of the header with the id of the request that a response belongs to
 */
internal class EmbeddedResponse(requestIdHeader: String) {
    private val head = Regex(
        "HTTP/1\\.[01] [1-9][0-9]{2}[^\\r\\n]*\\r?\\n(?:[^\\r\\n:]+:[^\\r\\n]*\\r?\\n)*${Regex.escape(
            requestIdHeader,
        )}:",
        RegexOption.IGNORE_CASE,
    )
    private var unfinished = ""

    /** Whether a head has ended in [data], which follows the bytes passed before. */
    fun isFoundIn(data: ByteBuf): Boolean {
        if (!data.isReadable) return false
        val text = unfinished + data.latin1(data.readableBytes())
        val start = text.lastIndexOf(START)
        unfinished = if (start >= 0 && text.length - start <= MAXIMUM_HEAD_BYTES) {
            text.substring(start)
        } else {
            text.takeLast(START.length - 1)
        }
        return start >= 0 && head.containsMatchIn(text)
    }

    private companion object {
        const val START = "HTTP/1."

        /** Fields before the id of a request that are looked through. */
        const val MAXIMUM_HEAD_BYTES = 2_048
    }
}
